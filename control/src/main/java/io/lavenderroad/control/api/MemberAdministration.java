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
	 * Returns the status of this member and the leader that it follows.
	 * @return the status
	 */
	MemberStatus status();

	/**
	 * Returns the members according to the state of this member.
	 * @return the members
	 */
	List<Member> members();

	/**
	 * Adds a member: it joins as a learner, catches up with the log and becomes a voter.
	 * @param id id of the member
	 * @param address {@code ip:port} where it accepts frames
	 * @return the members after the change, or the reason why it failed
	 */
	Either<CommandFailure, List<Member>> add(String id, String address);

	/**
	 * Removes a member.
	 * @param id id of the member
	 * @return the members after the change, or the reason why it failed
	 */
	Either<CommandFailure, List<Member>> remove(String id);

	/**
	 * Control member.
	 *
	 * @param id id of the member
	 * @param address {@code ip:port} where it accepts frames
	 * @param voter true for a voter, false for a learner
	 * @param leader whether it is the leader
	 * @param replicatedIndex index of the last log entry known to be stored by the
	 * member, or -1 if unknown
	 */
	record Member(String id, String address, boolean voter, boolean leader, long replicatedIndex) {

	}

	/**
	 * Status of this member.
	 *
	 * @param id id of this member
	 * @param role leader, follower, candidate or learner
	 * @param term current term of this member
	 * @param committedIndex index of the last log entry known to be committed
	 * @param leaderId id of the leader, if known
	 * @param leaderAddress {@code ip:port} of the leader's HTTP API, if known
	 */
	record MemberStatus(String id, String role, long term, long committedIndex, Optional<String> leaderId,
			Optional<String> leaderAddress) {

	}

}
