package io.lavenderroad.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Leases of children whose connection was lost and that may still attach elsewhere. Not
 * thread-safe; the owner guards it with its lock.
 */
final class LeaseTable {

	/**
	 * Time within which a node that lost its parent is expected to attach to another one.
	 */
	static final long LEASE_MILLIS = 3_000;

	private final Map<String, Long> lostMillis = new HashMap<>();

	void attached(String nodeId) {
		this.lostMillis.remove(nodeId);
	}

	void connectionLost(String nodeId, long now) {
		this.lostMillis.putIfAbsent(nodeId, now);
	}

	/**
	 * Removes and returns the nodes whose lease has expired.
	 * @param now milliseconds of the clock
	 * @return ids of the nodes
	 */
	List<String> takeExpired(long now) {
		List<String> expired = this.lostMillis.entrySet()
			.stream()
			.filter((entry) -> now - entry.getValue() >= LEASE_MILLIS)
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
		expired.forEach(this.lostMillis::remove);
		return expired;
	}

}
