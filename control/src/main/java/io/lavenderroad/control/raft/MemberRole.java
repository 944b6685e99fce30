package io.lavenderroad.control.raft;

/**
 * Role of a member in its term.
 */
public enum MemberRole {

	/**
	 * Follows a leader or waits for one.
	 */
	FOLLOWER,

	/**
	 * Asks whether an election could succeed, without raising its term.
	 */
	PRE_CANDIDATE,

	/**
	 * Asks for votes in a new term.
	 */
	CANDIDATE,

	/**
	 * Leads the group as long as a quorum answers.
	 */
	LEADER

}
