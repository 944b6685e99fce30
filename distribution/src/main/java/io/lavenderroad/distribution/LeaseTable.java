package io.lavenderroad.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Children whose connection was lost and that may still announce themselves elsewhere.
 * The owner guards it with its lock.
 */
final class LeaseTable {

	/**
	 * Time in which a node that lost its parent finds another one.
	 */
	static final long LEASE_MILLIS = 3_000;

	private final Map<String, Long> lostMillis = new HashMap<>();

	void attached(String nodeId) {
		this.lostMillis.remove(nodeId);
	}

	void lost(String nodeId, long now) {
		this.lostMillis.putIfAbsent(nodeId, now);
	}

	/**
	 * Takes out the nodes whose lease has run out.
	 * @param now milliseconds of the clock
	 * @return ids of the nodes
	 */
	List<String> takeDue(long now) {
		List<String> due = this.lostMillis.entrySet()
			.stream()
			.filter((entry) -> now - entry.getValue() >= LEASE_MILLIS)
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
		due.forEach(this.lostMillis::remove);
		return due;
	}

}
