package io.lavenderroad.control.raft;

import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Selects the member change for a process that joins or leaves, and the voter to remove
 * from a group that has more voters than its target. A process with a new id at the
 * address of a member has lost the data of that member and therefore replaces it.
 * <p>
 * A voter that is gone but still counts in quorums uses up one of the losses that the
 * group tolerates, so it is removed as soon as its successor is a voter.
 */
final class MembershipDecision {

	/**
	 * Time without a response after which a voter may be replaced by a process that joins
	 * or removed from a group with too many voters. A voter that was only paused or cut
	 * off joins again.
	 */
	static final long LOST_AFTER_MILLIS = 2_000;

	private final MemberSet members;

	private final int targetVoters;

	private final ToLongFunction<String> millisSinceResponse;

	/**
	 * Creates a decision for one member set.
	 * @param members the current members
	 * @param targetVoters target number of voters
	 * @param millisSinceResponse time since a member, given by id, last responded to the
	 * leader
	 */
	MembershipDecision(MemberSet members, int targetVoters, ToLongFunction<String> millisSinceResponse) {
		this.members = members;
		this.targetVoters = targetVoters;
		this.millisSinceResponse = millisSinceResponse;
	}

	/**
	 * Returns the member change for a process that is not in the member set.
	 * @param request the request
	 * @return the change
	 */
	MemberChange changeForJoin(JoinRequest request) {
		Optional<Member> sameAddress = this.members.members()
			.stream()
			.filter((member) -> member.address().equals(request.address()))
			.findFirst();
		Optional<Member> replaced = sameAddress
			.or(() -> (voters().size() >= this.targetVoters) ? longestUnreachableVoter() : Optional.empty());
		return replaced.map((member) -> MemberChange.replace(member.id(), request.id(), request.address()))
			.orElseGet(() -> MemberChange.add(request.id(), request.address()));
	}

	/**
	 * Returns the removal of a voter whose process ends, if the group has more voters
	 * than its target. Otherwise the voter stays, because the process may start again.
	 * @param id id of the voter
	 * @return the change, or empty if the voter stays or the process is no voter
	 */
	Optional<MemberChange> changeForLeave(String id) {
		return (this.members.isVoter(id) && hasSurplus()) ? Optional.of(MemberChange.remove(id)) : Optional.empty();
	}

	/**
	 * Returns the removal of an unreachable voter if the group has more voters than its
	 * target.
	 * @return the change, or empty if no voter is to be removed
	 */
	Optional<MemberChange> surplusRemoval() {
		if (!hasSurplus()) {
			return Optional.empty();
		}
		return longestUnreachableVoter().map((member) -> MemberChange.remove(member.id()));
	}

	/**
	 * Returns whether the group has more voters than its target.
	 * @return true if a voter may be removed
	 */
	boolean hasSurplus() {
		return voters().size() > this.targetVoters;
	}

	private List<Member> voters() {
		return this.members.members().stream().filter(Member::voter).toList();
	}

	private Optional<Member> longestUnreachableVoter() {
		return voters().stream()
			.filter((member) -> this.millisSinceResponse.applyAsLong(member.id()) >= LOST_AFTER_MILLIS)
			.max((first, second) -> Long.compare(this.millisSinceResponse.applyAsLong(first.id()),
					this.millisSinceResponse.applyAsLong(second.id())));
	}

}
