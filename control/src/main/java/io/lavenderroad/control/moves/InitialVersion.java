package io.lavenderroad.control.moves;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.lavenderroad.model.Endpoint;

/**
 * Chooses the initial version of a service whose configuration names none.
 */
public final class InitialVersion {

	private InitialVersion() {
	}

	/**
	 * Chooses the version that the largest number of backend servers announce; among
	 * equals, the first version in the order of names.
	 * @param endpoints announced backend servers of the service
	 * @return the version, empty if no backend server with a version accepts work
	 */
	public static Optional<String> choose(Collection<Endpoint> endpoints) {
		Map<String, Integer> counts = new TreeMap<>();
		endpoints.stream()
			.filter((endpoint) -> endpoint.state().acceptsWork() && !endpoint.version().isEmpty())
			.forEach((endpoint) -> counts.merge(endpoint.version(), 1, Integer::sum));
		Optional<String> mostFrequent = Optional.empty();
		for (Map.Entry<String, Integer> entry : counts.entrySet()) {
			if (mostFrequent.isEmpty() || entry.getValue() > counts.get(mostFrequent.get())) {
				mostFrequent = Optional.of(entry.getKey());
			}
		}
		return mostFrequent;
	}

}
