package io.lavenderroad.control.raft;

/**
 * Response to a {@link VoteRequest}.
 *
 * @param term current term of the voter
 * @param granted whether the vote or pre-vote was granted
 */
public record VoteResponse(long term, boolean granted) {

}
