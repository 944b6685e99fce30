package io.lavenderroad.control.raft;

/**
 * Answer to a {@link VoteRequest}.
 *
 * @param term term of the voter
 * @param granted whether the vote was given
 */
public record VoteResponse(long term, boolean granted) {

}
