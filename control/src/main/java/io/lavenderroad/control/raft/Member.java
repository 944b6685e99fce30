package io.lavenderroad.control.raft;

import java.util.Objects;

/**
 * A member of the control group.
 *
 * @param id id of the process; not reused after the member has lost its data folder
 * @param address {@code ip:port} where the member accepts frames
 * @param voter whether the member counts in quorums; a learner only receives the log
 */
public record Member(String id, String address, boolean voter) {

	public Member {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(address, "address");
	}

	/**
	 * Creates a voter.
	 * @param id id of the process
	 * @param address {@code ip:port} of the frame server
	 * @return the member
	 */
	public static Member voter(String id, String address) {
		return new Member(id, address, true);
	}

	/**
	 * Creates a learner.
	 * @param id id of the process
	 * @param address {@code ip:port} of the frame server
	 * @return the member
	 */
	public static Member learner(String id, String address) {
		return new Member(id, address, false);
	}

}
