package io.lavenderroad.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;

/**
 * Finds endpoints whose parent is gone, so that nobody holds their lease: a relay and its
 * children can die together.
 */
final class OrphanSweep {

	private final Map<String, Long> goneMillis = new HashMap<>();

	/**
	 * Returns the endpoints to expire now.
	 * @param endpoints endpoints that have not expired
	 * @param alive tells whether a process is alive
	 * @param now milliseconds of the clock
	 * @return the endpoints in the expired state
	 */
	List<Endpoint> expired(Collection<Endpoint> endpoints, Predicate<String> alive, long now) {
		Set<String> gone = new HashSet<>();
		Set<String> known = new HashSet<>();
		List<Endpoint> expired = new ArrayList<>();
		for (Endpoint endpoint : endpoints) {
			String parentId = endpoint.attachedTo();
			if (known.add(parentId) && !alive.test(parentId)) {
				gone.add(parentId);
				this.goneMillis.putIfAbsent(parentId, now);
			}
			if (gone.contains(parentId) && now - this.goneMillis.get(parentId) >= TreeTimes.ORPHAN_MILLIS) {
				expired.add(endpoint.withState(EndpointState.EXPIRED));
			}
		}
		this.goneMillis.keySet().retainAll(gone);
		return expired;
	}

}
