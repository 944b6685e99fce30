package io.lavenderroad.control.api;

import java.util.List;
import java.util.Optional;

import io.lavenderroad.control.state.CommandFailure;
import io.vavr.control.Either;

/**
 * Administration of the control members.
 */
public interface MemberAdministration {

	/**
	 * Returns what this member knows of itself and the leader.
	 * @return the status
	 */
	MemberStatus status();

	/**
	 * Returns the members as this member knows them.
	 * @return the members
	 */
	List<Member> members();

	/**
	 * Adds a member: it joins as a learner, is caught up and becomes a voter.
	 * @param id id of the member
	 * @param address {@code ip:port} where it accepts frames
	 * @return the members after the change, or why it failed
	 */
	Either<CommandFailure, List<Member>> add(String id, String address);

	/**
	 * Removes a member.
	 * @param id id of the member
	 * @return the members after the change, or why it failed
	 */
	Either<CommandFailure, List<Member>> remove(String id);

	/**
	 * Control member.
	 *
	 * @param id id of the member
	 * @param address {@code ip:port} where it accepts frames
	 * @param voter true for a voter, false for a learner
	 * @param leader whether it leads
	 * @param replicatedIndex last log entry known to be on the member, or -1 if unknown
	 */
	record Member(String id, String address, boolean voter, boolean leader, long replicatedIndex) {

	}

	/**
	 * Status of this member.
	 *
	 * @param id id of this member
	 * @param role leader, follower, candidate or learner
	 * @param term its term
	 * @param committedIndex last log entry known to be committed
	 * @param leaderId id of the leader, if known
	 * @param leaderAddress {@code ip:port} of the leader's HTTP API, if known
	 */
	record MemberStatus(String id, String role, long term, long committedIndex, Optional<String> leaderId,
			Optional<String> leaderAddress) {

	}

}
