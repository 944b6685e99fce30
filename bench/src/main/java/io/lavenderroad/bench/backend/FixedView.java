package io.lavenderroad.bench.backend;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import io.lavenderroad.model.ConfigurationFreshness;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;

/**
 * A view of the mesh that a benchmark or a test sets directly and shares among its nodes.
 */
public final class FixedView implements MeshView {

	private final Map<String, Endpoint> endpoints = new ConcurrentHashMap<>();

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private volatile MeshConfiguration configuration;

	private volatile ConfigurationFreshness freshness = ConfigurationFreshness.CURRENT;

	@Override
	public Optional<MeshConfiguration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	@Override
	public ConfigurationFreshness freshness() {
		return this.freshness;
	}

	@Override
	public List<Endpoint> endpoints(String service) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.service().equals(service) && endpoint.state() != EndpointState.EXPIRED)
			.sorted(Comparator.comparing(Endpoint::nodeId))
			.toList();
	}

	@Override
	public void onChange(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Activates a configuration and notifies the listeners.
	 * @param next the configuration
	 */
	public void configure(MeshConfiguration next) {
		this.configuration = next;
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Sets the freshness of the configuration.
	 * @param newFreshness freshness that nodes read
	 */
	public void freshness(ConfigurationFreshness newFreshness) {
		this.freshness = newFreshness;
	}

	/**
	 * Announces an endpoint and notifies the listeners.
	 * @param endpoint the endpoint; replaces the previous announcement of the same node
	 */
	public void announce(Endpoint endpoint) {
		this.endpoints.put(endpoint.nodeId(), endpoint);
		this.listeners.forEach(Runnable::run);
	}

}
