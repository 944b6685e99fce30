package io.lavenderroad.control.raft;

/**
 * Request for a vote or a pre-vote.
 *
 * @param term term of the election
 * @param candidateId id of the candidate
 * @param lastIndex index of the last entry in the log of the candidate
 * @param lastTerm term of its last entry
 * @param preVote whether this is a pre-vote, which does not change the term or vote of
 * the receiver
 * @param leadershipTransfer whether the leader requested this election, so that voters
 * may grant the vote although they are in contact with the leader
 */
public record VoteRequest(long term, String candidateId, long lastIndex, long lastTerm, boolean preVote,
		boolean leadershipTransfer) {

}
