package io.lavenderroad.control.raft;

import java.util.TreeMap;

/**
 * Member sets by the index of their log entries. The latest one is active, even if it is
 * not committed yet. Guarded by the lock of {@link ControlMember}.
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
	 * Removes sets that were superseded by a newer one at or before an index.
	 * @param index index of a committed entry
	 */
	void compact(long index) {
		this.sets.headMap(this.sets.floorKey(index), false).clear();
	}

}
