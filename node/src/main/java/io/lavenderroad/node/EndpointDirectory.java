package io.lavenderroad.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.policy.calls.EndpointLoad;

/**
 * The endpoints of each called service with the node's observations. A service is read
 * again from the view at its first call after a change.
 */
final class EndpointDirectory {

	private final MeshView view;

	private final Clock clock;

	private final AtomicLong generation = new AtomicLong();

	private final Map<String, KnownService> services = new ConcurrentHashMap<>();

	EndpointDirectory(MeshView view, Clock clock) {
		this.view = view;
		this.clock = clock;
		view.onChange(this.generation::incrementAndGet);
	}

	/**
	 * Returns the endpoints of a service and version.
	 * @param service name of the service
	 * @param version backend server version
	 * @return the endpoints in a stable order
	 */
	List<EndpointLoad> candidates(String service, String version) {
		return known(service).byVersion().getOrDefault(version, List.of());
	}

	/**
	 * Returns all endpoints of the services that were called, for the administrator.
	 * @return the endpoints by service
	 */
	Map<String, List<EndpointLoad>> all() {
		Map<String, List<EndpointLoad>> all = new HashMap<>();
		this.services.forEach((name, service) -> all.put(name, List.copyOf(service.byNode().values())));
		return all;
	}

	/**
	 * Forgets services that left the configuration.
	 */
	void prune() {
		this.view.configuration()
			.ifPresent((configuration) -> this.services.keySet().retainAll(configuration.services().keySet()));
	}

	private KnownService known(String service) {
		long current = this.generation.get();
		KnownService known = this.services.get(service);
		if (known != null && known.generation() == current) {
			return known;
		}
		return this.services.compute(service, (name, old) -> read(name, old, current));
	}

	private KnownService read(String service, KnownService old, long current) {
		Map<String, EndpointLoad> byNode = new HashMap<>();
		Map<String, List<EndpointLoad>> byVersion = new HashMap<>();
		for (Endpoint endpoint : this.view.endpoints(service)) {
			EndpointLoad load = (old != null) ? old.byNode().get(endpoint.nodeId()) : null;
			if (load == null || load.endpoint().incarnation() != endpoint.incarnation()) {
				load = new EndpointLoad(endpoint, this.clock.millis());
			}
			load.update(endpoint);
			byNode.put(endpoint.nodeId(), load);
			byVersion.computeIfAbsent(endpoint.version(), (version) -> new ArrayList<>()).add(load);
		}
		return new KnownService(current, byNode, byVersion);
	}

	private record KnownService(long generation, Map<String, EndpointLoad> byNode,
			Map<String, List<EndpointLoad>> byVersion) {

	}

}
