package io.lavenderroad.control.raft;

/**
 * Request of a candidate for a vote.
 *
 * @param term term in which the candidate wants to lead
 * @param candidateId id of the candidate
 * @param lastIndex index of its last entry
 * @param lastTerm term of its last entry
 * @param preVote whether the candidate only asks if an election could succeed
 * @param transfer whether the leader has asked for this election, so that voters answer
 * although they hear the leader
 */
public record VoteRequest(long term, String candidateId, long lastIndex, long lastTerm, boolean preVote,
		boolean transfer) {

}
