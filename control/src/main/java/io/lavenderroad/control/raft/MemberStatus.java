package io.lavenderroad.control.raft;

import java.util.Map;
import java.util.Optional;

/**
 * Status of one member for operators.
 *
 * @param id id of the member
 * @param role role in the current term
 * @param term the current term
 * @param leader the leader, if known
 * @param commitIndex index of the last entry known to be committed
 * @param appliedIndex index of the last applied entry
 * @param lastIndex index of the last entry in the log
 * @param snapshotIndex index of the newest snapshot
 * @param members the active member set
 * @param matchIndexes on the leader, the index of the last entry known to be durable on
 * each peer, by id; empty on other members
 * @param failure reason for which the member stopped voting and acknowledging, if it has
 * stopped
 */
public record MemberStatus(String id, MemberRole role, long term, Optional<Member> leader, long commitIndex,
		long appliedIndex, long lastIndex, long snapshotIndex, MemberSet members, Map<String, Long> matchIndexes,
		Optional<String> failure) {

}
