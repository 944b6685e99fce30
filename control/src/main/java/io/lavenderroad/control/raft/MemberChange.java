package io.lavenderroad.control.raft;

import java.util.Objects;
import java.util.Optional;

/**
 * A change of the member set: adds a member, removes one, or replaces one by another.
 *
 * @param added the member that becomes a voter
 * @param removed id of the member to remove, after the added one has become a voter
 */
public record MemberChange(Optional<Member> added, Optional<String> removed) {

	public MemberChange {
		Objects.requireNonNull(added, "added");
		Objects.requireNonNull(removed, "removed");
		if (added.isEmpty() && removed.isEmpty()) {
			throw new IllegalArgumentException("a member change adds or removes a member");
		}
	}

	/**
	 * Adds a voter.
	 * @param id id of the new member
	 * @param address {@code ip:port} of its frame server
	 * @return the change
	 */
	public static MemberChange add(String id, String address) {
		return new MemberChange(Optional.of(Member.learner(id, address)), Optional.empty());
	}

	/**
	 * Removes a member.
	 * @param id id of the member
	 * @return the change
	 */
	public static MemberChange remove(String id) {
		return new MemberChange(Optional.empty(), Optional.of(id));
	}

	/**
	 * Replaces a member. The new member becomes a voter before the old one is removed.
	 * @param oldId id of the member to remove
	 * @param id id of the new member
	 * @param address {@code ip:port} of the frame server of the new member
	 * @return the change
	 */
	public static MemberChange replace(String oldId, String id, String address) {
		return new MemberChange(Optional.of(Member.learner(id, address)), Optional.of(oldId));
	}

}
