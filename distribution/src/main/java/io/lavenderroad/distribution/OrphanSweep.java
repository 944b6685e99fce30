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
 * Finds endpoints whose lease no process holds because their parent is lost: a relay and
 * its children can fail together.
 */
final class OrphanSweep {

	private final Map<String, Long> parentLostMillis = new HashMap<>();

	/**
	 * Returns the endpoints to expire now. A parent that has restarted holds no leases,
	 * so its former children have to announce themselves again.
	 * @param entries all entries of the registry
	 * @param alive returns whether a process is this control member, a connected control
	 * member, or a node whose announcement has not expired
	 * @param now milliseconds of the clock
	 * @return the endpoints in the expired state
	 */
	List<Endpoint> expired(Collection<Entry> entries, Predicate<String> alive, long now) {
		Map<String, Long> restartedMillis = new HashMap<>();
		entries.stream()
			.filter((entry) -> entry.restartedMillis() != 0)
			.forEach((entry) -> restartedMillis.put(entry.endpoint().nodeId(), entry.restartedMillis()));
		Set<String> lostParents = new HashSet<>();
		Set<String> checkedParents = new HashSet<>();
		List<Endpoint> expired = new ArrayList<>();
		for (Entry entry : entries) {
			Endpoint endpoint = entry.endpoint();
			if (endpoint.state() == EndpointState.EXPIRED) {
				continue;
			}
			String parentId = endpoint.attachedTo();
			if (checkedParents.add(parentId) && !alive.test(parentId)) {
				lostParents.add(parentId);
				this.parentLostMillis.putIfAbsent(parentId, now);
			}
			boolean orphan = lostParents.contains(parentId)
					&& now - this.parentLostMillis.get(parentId) >= TreeTimes.ORPHAN_TIMEOUT_MILLIS;
			long restarted = restartedMillis.getOrDefault(parentId, 0L);
			boolean parentRestarted = entry.changedMillis() < restarted
					&& now - restarted >= TreeTimes.ORPHAN_TIMEOUT_MILLIS;
			if (orphan || parentRestarted) {
				expired.add(endpoint.withState(EndpointState.EXPIRED));
			}
		}
		this.parentLostMillis.keySet().retainAll(lostParents);
		return expired;
	}

}
