package io.lavenderroad.control.raft;

/**
 * Role of a member in its term.
 */
public enum MemberRole {

	/**
	 * Follows a leader, or waits until one is elected.
	 */
	FOLLOWER,

	/**
	 * Requests pre-votes to find out whether it could win an election, without
	 * incrementing its term.
	 */
	PRE_CANDIDATE,

	/**
	 * Requests votes in a new term.
	 */
	CANDIDATE,

	/**
	 * Leads the group as long as a quorum responds.
	 */
	LEADER

}
