package io.lavenderroad.control.log;

import java.util.Objects;

/**
 * Snapshot of the state after all entries up to an index.
 *
 * @param index index of the last entry that the state contains
 * @param term term of that entry
 * @param members encoded member set active at that entry
 * @param data encoded state of the state machine
 */
public record Snapshot(long index, long term, byte[] members, byte[] data) {

	public Snapshot {
		Objects.requireNonNull(members, "members");
		Objects.requireNonNull(data, "data");
	}

}
