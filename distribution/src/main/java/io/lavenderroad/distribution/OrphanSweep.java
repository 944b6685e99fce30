package io.lavenderroad.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import io.lavenderroad.distribution.EndpointRegistry.Entry;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;

/**
 * Finds endpoints whose parent is gone, so that nobody holds their lease: a relay and its
 * children can die together.
 */
final class OrphanSweep {

	private final Map<String, Long> goneMillis = new HashMap<>();

	/**
	 * Returns the endpoints to expire now. A parent that has restarted holds no leases,
	 * so that its former children must announce themselves again.
	 * @param entries all entries of the registry
	 * @param alive tells whether a process is alive
	 * @param now milliseconds of the clock
	 * @return the endpoints in the expired state
	 */
	List<Endpoint> expired(Collection<Entry> entries, Predicate<String> alive, long now) {
		Map<String, Long> restartedMillis = new HashMap<>();
		entries.stream()
			.filter((entry) -> entry.restartedMillis() != 0)
			.forEach((entry) -> restartedMillis.put(entry.endpoint().nodeId(), entry.restartedMillis()));
		Set<String> gone = new HashSet<>();
		Set<String> known = new HashSet<>();
		List<Endpoint> expired = new ArrayList<>();
		for (Entry entry : entries) {
			Endpoint endpoint = entry.endpoint();
			if (endpoint.state() == EndpointState.EXPIRED) {
				continue;
			}
			String parentId = endpoint.attachedTo();
			if (known.add(parentId) && !alive.test(parentId)) {
				gone.add(parentId);
				this.goneMillis.putIfAbsent(parentId, now);
			}
			boolean orphan = gone.contains(parentId) && now - this.goneMillis.get(parentId) >= TreeTimes.ORPHAN_MILLIS;
			long restarted = restartedMillis.getOrDefault(parentId, 0L);
			boolean forgotten = entry.changedMillis() < restarted && now - restarted >= TreeTimes.ORPHAN_MILLIS;
			if (orphan || forgotten) {
				expired.add(endpoint.withState(EndpointState.EXPIRED));
			}
		}
		this.goneMillis.keySet().retainAll(gone);
		return expired;
	}

}
