package io.lavenderroad.control.moves;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.lavenderroad.model.Endpoint;

/**
 * Chooses the version that serves a service whose configuration names none.
 */
public final class FirstVersion {

	private FirstVersion() {
	}

	/**
	 * Chooses the version that most backend servers have; among equals the first by name.
	 * @param endpoints announced backend servers of the service
	 * @return the version, empty while none takes work
	 */
	public static Optional<String> choose(Collection<Endpoint> endpoints) {
		Map<String, Integer> counts = new TreeMap<>();
		endpoints.stream()
			.filter((endpoint) -> endpoint.state().acceptsWork() && !endpoint.version().isEmpty())
			.forEach((endpoint) -> counts.merge(endpoint.version(), 1, Integer::sum));
		Optional<String> most = Optional.empty();
		for (Map.Entry<String, Integer> entry : counts.entrySet()) {
			if (most.isEmpty() || entry.getValue() > counts.get(most.get())) {
				most = Optional.of(entry.getKey());
			}
		}
		return most;
	}

}
