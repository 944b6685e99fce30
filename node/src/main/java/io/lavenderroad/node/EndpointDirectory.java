package io.lavenderroad.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.Evacuations;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.policy.calls.EndpointLoad;

/**
 * Caches the endpoints of each called service together with this node's load
 * observations. The entry of a service is refreshed from the view by the first call to
 * that service after a change of the view.
 */
final class EndpointDirectory {

	private final MeshView view;

	private final Clock clock;

	private final AtomicLong generation = new AtomicLong();

	private final Map<String, ServiceEntry> services = new ConcurrentHashMap<>();

	EndpointDirectory(MeshView view, Clock clock) {
		this.view = view;
		this.clock = clock;
		view.onChange(this.generation::incrementAndGet);
	}

	/**
	 * Returns the endpoints of a service and version, without those in evacuated failure
	 * domains.
	 * @param service name of the service
	 * @param version backend server version
	 * @return the endpoints in a stable order
	 */
	List<EndpointLoad> candidates(String service, String version) {
		return entry(service).byVersion().getOrDefault(version, List.of());
	}

	/**
	 * Returns the evacuated failure domains with endpoints of a service.
	 * @param service name of the service
	 * @return names of the failure domains
	 */
	Set<String> evacuatedDomains(String service) {
		return entry(service).evacuatedDomains();
	}

	/**
	 * Returns the endpoints of all called services, for the administration page.
	 * @return the endpoints by service
	 */
	Map<String, List<EndpointLoad>> all() {
		Map<String, List<EndpointLoad>> all = new HashMap<>();
		this.services.forEach((name, service) -> all.put(name, List.copyOf(service.byNode().values())));
		return all;
	}

	/**
	 * Removes services that are no longer in the configuration.
	 */
	void prune() {
		this.view.configuration()
			.ifPresent((configuration) -> this.services.keySet().retainAll(configuration.services().keySet()));
	}

	private ServiceEntry entry(String service) {
		long current = this.generation.get();
		ServiceEntry entry = this.services.get(service);
		if (entry != null && entry.generation() == current) {
			return entry;
		}
		return this.services.compute(service, (name, previous) -> refresh(name, previous, current));
	}

	private ServiceEntry refresh(String service, ServiceEntry previous, long current) {
		Map<String, EndpointLoad> byNode = new HashMap<>();
		Map<String, List<EndpointLoad>> byVersion = new HashMap<>();
		Evacuations evacuations = this.view.configuration()
			.map(MeshConfiguration::evacuations)
			.orElse(Evacuations.NONE);
		Set<String> evacuatedDomains = new TreeSet<>();
		boolean paced = this.view.configuration()
			.flatMap((active) -> active.service(service))
			.filter((active) -> active.coldStart().isDeclared())
			.isPresent();
		for (Endpoint endpoint : this.view.endpoints(service)) {
			EndpointLoad load = (previous != null) ? previous.byNode().get(endpoint.nodeId()) : null;
			if (load == null || load.endpoint().incarnation() != endpoint.incarnation()) {
				load = new EndpointLoad(endpoint);
			}
			load.update(endpoint, this.clock.millis(), paced);
			byNode.put(endpoint.nodeId(), load);
			if (evacuations.contains(endpoint.failureDomain())) {
				evacuatedDomains.add(endpoint.failureDomain());
				continue;
			}
			byVersion.computeIfAbsent(endpoint.version(), (version) -> new ArrayList<>()).add(load);
		}
		return new ServiceEntry(current, byNode, byVersion, evacuatedDomains);
	}

	private record ServiceEntry(long generation, Map<String, EndpointLoad> byNode,
			Map<String, List<EndpointLoad>> byVersion, Set<String> evacuatedDomains) {

	}

}
