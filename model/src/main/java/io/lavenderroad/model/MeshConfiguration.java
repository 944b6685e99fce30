package io.lavenderroad.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

import io.lavenderroad.model.binding.ConfigurationBinding;

/**
 * One complete, immutable version of the configuration, or the slice of it that one node
 * needs.
 */
public final class MeshConfiguration {

	/**
	 * The configuration before the first change.
	 */
	public static final MeshConfiguration EMPTY = new MeshConfiguration(0, new TreeMap<>(), RouteSet.EMPTY,
			CallerLimits.DEFAULT, TeamSet.EMPTY, Evacuations.NONE);

	private final long version;

	private final SortedMap<String, ServiceConfiguration> services;

	private final RouteSet routes;

	private final CallerLimits limits;

	private final TeamSet teams;

	private final Evacuations evacuations;

	private volatile String digest;

	private MeshConfiguration(long version, SortedMap<String, ServiceConfiguration> services, RouteSet routes,
			CallerLimits limits, TeamSet teams, Evacuations evacuations) {
		this.version = version;
		this.services = Collections.unmodifiableSortedMap(services);
		this.routes = routes;
		this.limits = limits;
		this.teams = teams;
		this.evacuations = evacuations;
	}

	/**
	 * Creates a configuration without routes by host and with default limits for callers.
	 * @param version the version
	 * @param services all services
	 * @return the configuration
	 */
	public static MeshConfiguration of(long version, Collection<ServiceConfiguration> services) {
		return of(version, services, RouteSet.EMPTY, CallerLimits.DEFAULT);
	}

	/**
	 * Creates a configuration without teams and evacuations.
	 * @param version the version
	 * @param services all services
	 * @param routes all routes that are selected by host
	 * @param limits limits for callers
	 * @return the configuration
	 */
	public static MeshConfiguration of(long version, Collection<ServiceConfiguration> services, RouteSet routes,
			CallerLimits limits) {
		return of(version, services, routes, limits, TeamSet.EMPTY, Evacuations.NONE);
	}

	/**
	 * Creates a configuration from its parts.
	 * @param version the version
	 * @param services all services
	 * @param routes all routes that are selected by host
	 * @param limits limits for callers
	 * @param teams all teams with access keys
	 * @param evacuations the evacuated failure domains
	 * @return the configuration
	 */
	public static MeshConfiguration of(long version, Collection<ServiceConfiguration> services, RouteSet routes,
			CallerLimits limits, TeamSet teams, Evacuations evacuations) {
		TreeMap<String, ServiceConfiguration> byName = new TreeMap<>();
		services.forEach((service) -> byName.put(service.name(), service));
		return new MeshConfiguration(version, byName, routes, limits, teams, evacuations);
	}

	/**
	 * Returns the mesh version.
	 * @return a number that rises with each accepted change of the mesh
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the services.
	 * @return services by name
	 */
	public SortedMap<String, ServiceConfiguration> services() {
		return this.services;
	}

	/**
	 * Finds a service.
	 * @param name name of the service
	 * @return the service, or empty if this configuration does not hold it
	 */
	public Optional<ServiceConfiguration> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the routes that are selected by host.
	 * @return the routes
	 */
	public RouteSet routes() {
		return this.routes;
	}

	/**
	 * Returns the limits for callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the teams with access keys.
	 * @return the teams, empty if callers need no keys
	 */
	public TeamSet teams() {
		return this.teams;
	}

	/**
	 * Returns the evacuated failure domains.
	 * @return the failure domains whose backend servers get no requests
	 */
	public Evacuations evacuations() {
		return this.evacuations;
	}

	/**
	 * Returns the digest of the content: SHA-256 over the sorted names and the digests of
	 * the encoded services, the fingerprint of the routes, the limits, the teams and the
	 * evacuated failure domains. The version is not part of it.
	 * @return lower-case hexadecimal text
	 */
	public String digest() {
		if (this.digest == null) {
			this.digest = ConfigurationBinding.digest(this);
		}
		return this.digest;
	}

	/**
	 * Returns the next version, in which only services change.
	 * @param nextVersion the next version, larger than the current one
	 * @param changed services that are new or changed; their modified version is set
	 * @param removed names of the services that are removed
	 * @return the next configuration
	 * @throws IllegalArgumentException if the next version is not larger than the current
	 * one
	 */
	public MeshConfiguration next(long nextVersion, Collection<ServiceConfiguration> changed,
			Collection<String> removed) {
		return next(nextVersion, ConfigurationEdit.ofServices(changed, removed));
	}

	/**
	 * Returns the next version.
	 * @param nextVersion the next version, larger than the current one
	 * @param edit what changes; the modified versions of services and routes are set
	 * @return the next configuration
	 * @throws IllegalArgumentException if the next version is not larger than the current
	 * one
	 */
	public MeshConfiguration next(long nextVersion, ConfigurationEdit edit) {
		if (nextVersion <= this.version) {
			throw new IllegalArgumentException(
					"version " + nextVersion + " is not larger than the current version " + this.version);
		}
		TreeMap<String, ServiceConfiguration> nextServices = new TreeMap<>(this.services);
		edit.removedServices().forEach(nextServices::remove);
		for (ServiceConfiguration service : edit.services()) {
			nextServices.put(service.name(), service.toBuilder().modifiedVersion(nextVersion).build());
		}
		RouteSet nextRoutes = this.routes.next(nextVersion, edit.routes(), edit.removedRoutes());
		return new MeshConfiguration(nextVersion, nextServices, nextRoutes, edit.limits().orElse(this.limits),
				this.teams.next(nextVersion, edit.teams()), nextEvacuations(nextVersion, edit));
	}

	/**
	 * Returns the slice for a scope.
	 * @param scope what the receiver needs
	 * @return this configuration restricted to the services in scope, at the same version
	 */
	public MeshConfiguration slice(Scope scope) {
		if (scope.all()) {
			return this;
		}
		TreeMap<String, ServiceConfiguration> selected = new TreeMap<>();
		for (String name : serviceNamesInScope(scope)) {
			selected.put(name, this.services.get(name));
		}
		return new MeshConfiguration(this.version, selected, this.routes, this.limits, this.teams, this.evacuations);
	}

	/**
	 * Returns the delta for a receiver with an older active slice. The service names that
	 * the receiver holds show what to remove, and which services entered the slice
	 * although they were last modified long before. So no log of deltas is needed, and no
	 * version is too old as far as services are concerned.
	 * @param fromVersion active version of the receiver
	 * @param heldServices names of the services that the receiver holds
	 * @param scope what the receiver needs
	 * @return the delta, or empty if the receiver holds no version, one that is newer
	 * than this, or one for which the recorded removals of routes are incomplete
	 */
	public Optional<ConfigurationDelta> deltaFrom(long fromVersion, Set<String> heldServices, Scope scope) {
		if (fromVersion <= 0 || fromVersion > this.version || fromVersion < this.routes.removalsCompleteFrom()) {
			return Optional.empty();
		}
		MeshConfiguration slice = slice(scope);
		List<ServiceConfiguration> changed = slice.services.values()
			.stream()
			.filter((service) -> service.modifiedVersion() > fromVersion || !heldServices.contains(service.name()))
			.toList();
		List<String> removed = heldServices.stream()
			.filter((name) -> !slice.services.containsKey(name))
			.sorted()
			.toList();
		ConfigurationEdit edit = new ConfigurationEdit(changed, removed, this.routes.changedSince(fromVersion),
				this.routes.removedSince(fromVersion), Optional.of(this.limits), this.teams.since(fromVersion),
				(this.evacuations.modifiedVersion() > fromVersion) ? Optional.of(this.evacuations.failureDomains())
						: Optional.empty());
		return Optional.of(new ConfigurationDelta(fromVersion, this.version, edit, slice.digest()));
	}

	/**
	 * Applies a delta to this slice.
	 * @param delta a delta from the version of this slice
	 * @return the new slice, or empty if the delta starts at another version, does not
	 * lead to a larger version, or the digest of the result differs
	 */
	public Optional<MeshConfiguration> apply(ConfigurationDelta delta) {
		if (delta.fromVersion() != this.version || delta.toVersion() <= this.version) {
			return Optional.empty();
		}
		TreeMap<String, ServiceConfiguration> nextServices = new TreeMap<>(this.services);
		delta.removed().forEach(nextServices::remove);
		delta.changed().forEach((service) -> nextServices.put(service.name(), service));
		RouteSet nextRoutes = this.routes.apply(delta.toVersion(), delta.edit().routes(), delta.edit().removedRoutes());
		MeshConfiguration next = new MeshConfiguration(delta.toVersion(), nextServices, nextRoutes,
				delta.edit().limits().orElse(this.limits), this.teams.apply(delta.toVersion(), delta.edit().teams()),
				nextEvacuations(delta.toVersion(), delta.edit()));
		return next.digest().equals(delta.digest()) ? Optional.of(next) : Optional.empty();
	}

	/**
	 * Validates references: lists versions and services that this configuration names but
	 * does not hold, and traffic splits with a wrong sum.
	 * @return one sentence for each problem; empty if the configuration is complete
	 */
	public List<String> missingResources() {
		List<String> missing = new ArrayList<>();
		for (ServiceConfiguration service : this.services.values()) {
			service.split()
				.keySet()
				.stream()
				.filter((name) -> !service.versions().contains(name))
				.forEach((name) -> missing
					.add("split of service " + service.name() + " names the unknown version " + name));
			if (service.split().isEmpty() && service.versions().isEmpty()) {
				// No backend server has announced a version yet.
				continue;
			}
			int sum = service.split().values().stream().mapToInt(Integer::intValue).sum();
			if (sum != ServiceConfiguration.FULL_SHARE_BASIS_POINTS) {
				missing.add("split of service " + service.name() + " sums to " + sum);
			}
		}
		this.routes.all()
			.forEach((route) -> route.weights()
				.keySet()
				.stream()
				.filter((name) -> !this.services.containsKey(name))
				.forEach((name) -> missing.add("route " + route.name() + " names the unknown service " + name)));
		return missing;
	}

	private Evacuations nextEvacuations(long nextVersion, ConfigurationEdit edit) {
		return edit.evacuatedDomains()
			.map((failureDomains) -> new Evacuations(failureDomains, nextVersion))
			.orElse(this.evacuations);
	}

	private Set<String> serviceNamesInScope(Scope scope) {
		Set<String> names = new TreeSet<>();
		for (ServiceConfiguration service : this.services.values()) {
			if (service.openToCallers() || scope.localServices().contains(service.name())) {
				names.add(service.name());
			}
		}
		for (String localService : scope.localServices()) {
			service(localService).ifPresent((service) -> names.addAll(service.calls()));
		}
		names.retainAll(this.services.keySet());
		return names;
	}

}
