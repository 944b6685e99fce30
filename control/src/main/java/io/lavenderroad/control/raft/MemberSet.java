package io.lavenderroad.control.raft;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.Fields;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The members that are active from some log entry on, with the member change in progress.
 * The change is part of the log entry, so that the next leader can continue it.
 *
 * @param members voters and learners
 * @param requestedVoters number of voters that operators requested; the set never has
 * fewer
 * @param change the change in progress
 */
public record MemberSet(List<Member> members, int requestedVoters, Optional<MemberChange> change) {

	public MemberSet {
		members = List.copyOf(members);
		Objects.requireNonNull(change, "change");
		long voters = members.stream().filter(Member::voter).count();
		if (voters < requestedVoters) {
			throw new IllegalArgumentException(voters + " voters are fewer than the requested " + requestedVoters);
		}
		if (members.stream().map(Member::id).distinct().count() < members.size()) {
			throw new IllegalArgumentException("member ids are not distinct: " + members);
		}
	}

	/**
	 * Returns the set of a process that is not yet a member of a group.
	 * @return the empty set
	 */
	public static MemberSet empty() {
		return new MemberSet(List.of(), 0, Optional.empty());
	}

	/**
	 * Returns the initial set of a group.
	 * @param voters the initial members
	 * @return the set
	 */
	public static MemberSet of(List<Member> voters) {
		return new MemberSet(voters, voters.size(), Optional.empty());
	}

	/**
	 * Finds a member.
	 * @param id id of the member
	 * @return the member, or empty
	 */
	public Optional<Member> find(String id) {
		return this.members.stream().filter((member) -> member.id().equals(id)).findFirst();
	}

	/**
	 * Returns whether a member counts in quorums.
	 * @param id id of the member
	 * @return true for voters
	 */
	public boolean isVoter(String id) {
		return find(id).map(Member::voter).orElse(false);
	}

	/**
	 * Returns the quorum for elections, commits and leadership confirmations.
	 * @return a majority of the voters
	 */
	public Quorum quorum() {
		return Quorum.majority(this.members.stream().filter(Member::voter).map(Member::id).toList());
	}

	/**
	 * Returns the set after the first step of a change. An added member joins as a
	 * learner. A change without one removes the member and is finished.
	 * @param begun the change
	 * @return the next set
	 */
	MemberSet begin(MemberChange begun) {
		if (begun.added().isEmpty()) {
			return without(begun.removed().orElseThrow(), true);
		}
		List<Member> next = new ArrayList<>(this.members);
		next.add(begun.added().get());
		return new MemberSet(next, this.requestedVoters, Optional.of(begun));
	}

	/**
	 * Returns the set after the added member became a voter.
	 * @return the next set; the change is finished unless it also removes a member
	 */
	MemberSet promoteAdded() {
		Member added = this.change.orElseThrow().added().orElseThrow();
		List<Member> next = new ArrayList<>(this.members);
		next.replaceAll(
				(member) -> member.id().equals(added.id()) ? Member.voter(added.id(), member.address()) : member);
		boolean replaces = this.change.get().removed().isPresent();
		return new MemberSet(next, replaces ? this.requestedVoters : this.requestedVoters + 1,
				replaces ? this.change : Optional.empty());
	}

	/**
	 * Returns the set after the replaced member was removed.
	 * @return the next set without a change
	 */
	MemberSet removeReplaced() {
		return without(this.change.orElseThrow().removed().orElseThrow(), false);
	}

	/**
	 * Returns the set after the added learner was removed because it did not catch up.
	 * @return the next set without a change
	 */
	MemberSet removeAdded() {
		return without(this.change.orElseThrow().added().orElseThrow().id(), false);
	}

	byte[] toBytes() {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packInt(this.requestedVoters);
			Fields.packList(packer, this.members, MemberSet::packMember);
			packer.packBoolean(this.change.isPresent());
			if (this.change.isPresent()) {
				Fields.packList(packer, this.change.get().added().stream().toList(), MemberSet::packMember);
				Fields.packOptionalText(packer, this.change.get().removed());
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new LavenderroadException("cannot encode the member set", ex);
		}
	}

	static MemberSet fromBytes(byte[] bytes) {
		try (MessageUnpacker unpacker = Fields.unpacker(bytes)) {
			int requestedVoters = unpacker.unpackInt();
			List<Member> members = Fields.unpackList(unpacker, MemberSet::unpackMember);
			Optional<MemberChange> change = unpacker.unpackBoolean() ? Optional.of(unpackChange(unpacker))
					: Optional.empty();
			return new MemberSet(members, requestedVoters, change);
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new LavenderroadException("cannot decode the member set: " + ex.getMessage(), ex);
		}
	}

	private MemberSet without(String id, boolean fewerRequested) {
		int fewer = (fewerRequested && isVoter(id)) ? 1 : 0;
		return new MemberSet(this.members.stream().filter((member) -> !member.id().equals(id)).toList(),
				this.requestedVoters - fewer, Optional.empty());
	}

	private static void packMember(Member member, MessagePacker packer) throws IOException {
		packer.packString(member.id());
		packer.packString(member.address());
		packer.packBoolean(member.voter());
	}

	private static Member unpackMember(MessageUnpacker unpacker) throws IOException {
		return new Member(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackBoolean());
	}

	private static MemberChange unpackChange(MessageUnpacker unpacker) throws IOException {
		List<Member> added = Fields.unpackList(unpacker, MemberSet::unpackMember);
		return new MemberChange(added.stream().findFirst(), Fields.unpackOptionalText(unpacker));
	}

}
