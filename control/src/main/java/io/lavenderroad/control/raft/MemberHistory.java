package io.lavenderroad.control.raft;

import java.util.TreeMap;

/**
 * The member sets of the log by the index of their entries. The newest one is in force,
 * committed or not. Guarded by the lock of {@link ControlMember}.
 */
final class MemberHistory {

	private final TreeMap<Long, MemberSet> sets = new TreeMap<>();

	MemberHistory(long index, MemberSet first) {
		this.sets.put(index, first);
	}

	MemberSet latest() {
		return this.sets.lastEntry().getValue();
	}

	long latestIndex() {
		return this.sets.lastKey();
	}

	MemberSet at(long index) {
		return this.sets.floorEntry(index).getValue();
	}

	void add(long index, MemberSet set) {
		this.sets.put(index, set);
	}

	void truncateFrom(long index) {
		this.sets.tailMap(index, true).clear();
	}

	void resetTo(long index, MemberSet set) {
		this.sets.headMap(index, true).clear();
		this.sets.put(index, set);
	}

	/**
	 * Forgets sets that were replaced by a newer one at or before an index.
	 * @param index index of a committed entry
	 */
	void compact(long index) {
		this.sets.headMap(this.sets.floorKey(index), false).clear();
	}

}
