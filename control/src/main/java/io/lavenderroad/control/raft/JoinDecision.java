package io.lavenderroad.control.raft;

import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Decides which member change a process that asks to join leads to, and which voter a
 * group with too many gives up. A process at the address of a member has lost the disk of
 * that member and replaces it.
 */
final class JoinDecision {

	/**
	 * Silence after which a voter may be replaced or given up. A restart takes less.
	 */
	static final long LOST_MILLIS = 6_000;

	private final MemberSet members;

	private final int usualVoters;

	private final ToLongFunction<String> silenceMillis;

	/**
	 * Prepares the decision.
	 * @param members the present members
	 * @param usualVoters voters that the group should have
	 * @param silenceMillis time since a member last answered the leader, by id
	 */
	JoinDecision(MemberSet members, int usualVoters, ToLongFunction<String> silenceMillis) {
		this.members = members;
		this.usualVoters = usualVoters;
		this.silenceMillis = silenceMillis;
	}

	/**
	 * Decides about a process that is not in the member set.
	 * @param request the request
	 * @return the change
	 */
	MemberChange join(JoinRequest request) {
		Optional<Member> sameAddress = this.members.members()
			.stream()
			.filter((member) -> member.address().equals(request.address()))
			.findFirst();
		Optional<Member> replaced = sameAddress
			.or(() -> (voters().size() >= this.usualVoters) ? mostSilent() : Optional.empty());
		return replaced.map((member) -> MemberChange.replace(member.id(), request.id(), request.address()))
			.orElseGet(() -> MemberChange.add(request.id(), request.address()));
	}

	/**
	 * Names a voter that a group with more than its usual voters gives up.
	 * @return the change, empty if there is none to give up
	 */
	Optional<MemberChange> surplus() {
		if (voters().size() <= this.usualVoters) {
			return Optional.empty();
		}
		return mostSilent().map((member) -> MemberChange.remove(member.id()));
	}

	private List<Member> voters() {
		return this.members.members().stream().filter(Member::voter).toList();
	}

	private Optional<Member> mostSilent() {
		return voters().stream()
			.filter((member) -> this.silenceMillis.applyAsLong(member.id()) >= LOST_MILLIS)
			.max((first, second) -> Long.compare(this.silenceMillis.applyAsLong(first.id()),
					this.silenceMillis.applyAsLong(second.id())));
	}

}
