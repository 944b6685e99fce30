package io.lavenderroad.model;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.lavenderroad.model.binding.ConfigurationBinding;

/**
 * Immutable configuration of one service as nodes use it. The split is the only place
 * that defines which version gets which traffic; each step of a move changes it.
 */
public final class ServiceConfiguration {

	/**
	 * Sum of the shares of a split, in 1/10,000.
	 */
	public static final int FULL_SHARE_BASIS_POINTS = 10_000;

	private final String name;

	private final String team;

	private final boolean openToCallers;

	private final Set<String> calls;

	private final List<Route> routes;

	private final Set<String> versions;

	private final Map<String, Integer> split;

	private final ServiceLimits limits;

	private final MoveParameters move;

	private final ColdStart coldStart;

	private final long modifiedVersion;

	private volatile byte[] encoded;

	private volatile byte[] digest;

	private ServiceConfiguration(Builder builder) {
		this.name = Objects.requireNonNull(builder.name, "name");
		this.team = builder.team;
		this.openToCallers = builder.openToCallers;
		this.calls = Collections.unmodifiableSet(new TreeSet<>(builder.calls));
		this.routes = List.copyOf(builder.routes);
		this.versions = Collections.unmodifiableSet(new TreeSet<>(builder.versions));
		this.split = Collections.unmodifiableMap(new TreeMap<>(builder.split));
		this.limits = builder.limits;
		this.move = builder.move;
		this.coldStart = Objects.requireNonNull(builder.coldStart, "coldStart");
		this.modifiedVersion = builder.modifiedVersion;
	}

	/**
	 * Creates a builder.
	 * @param name name of the service
	 * @return the builder
	 */
	public static Builder builder(String name) {
		return new Builder(name);
	}

	/**
	 * Creates a builder that is initialized with the values of this service.
	 * @return the builder
	 */
	public Builder toBuilder() {
		return new Builder(this.name).team(this.team)
			.openToCallers(this.openToCallers)
			.calls(this.calls)
			.routes(this.routes)
			.versions(this.versions)
			.split(this.split)
			.limits(this.limits)
			.move(this.move)
			.coldStart(this.coldStart)
			.modifiedVersion(this.modifiedVersion);
	}

	/**
	 * Returns the name of the service.
	 * @return the name, unique in the mesh
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the team that owns the service.
	 * @return name of the team's parameters document
	 */
	public String team() {
		return this.team;
	}

	/**
	 * Returns whether callers outside the mesh may use the service through any node.
	 * @return true if open
	 */
	public boolean openToCallers() {
		return this.openToCallers;
	}

	/**
	 * Returns the services that this service calls.
	 * @return sorted service names
	 */
	public Set<String> calls() {
		return this.calls;
	}

	/**
	 * Returns the routes.
	 * @return routes in matching order: the first match wins
	 */
	public List<Route> routes() {
		return this.routes;
	}

	/**
	 * Returns the known backend server versions.
	 * @return sorted version names
	 */
	public Set<String> versions() {
		return this.versions;
	}

	/**
	 * Returns the traffic split.
	 * @return share of each version in 1/10,000, in the order of the names
	 */
	public Map<String, Integer> split() {
		return this.split;
	}

	public ServiceLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the active move, which is in progress or being watched after its last step.
	 * @return the parameters, or empty if no move is active
	 */
	public Optional<MoveParameters> move() {
		return Optional.ofNullable(this.move);
	}

	/**
	 * Returns the load that the backend servers tolerate while they are cold.
	 * @return the cold start
	 */
	public ColdStart coldStart() {
		return this.coldStart;
	}

	/**
	 * Returns the mesh version that last changed this service.
	 * @return the version
	 */
	public long modifiedVersion() {
		return this.modifiedVersion;
	}

	/**
	 * Returns the MessagePack form. It is computed once, since a relay sends the same
	 * service to many children.
	 * @return the bytes, shared and not to be modified
	 */
	public byte[] encoded() {
		byte[] bytes = this.encoded;
		if (bytes == null) {
			bytes = ConfigurationBinding.encode(this);
			this.encoded = bytes;
		}
		return bytes;
	}

	/**
	 * Returns the SHA-256 digest of the MessagePack form, computed once.
	 * @return 32 bytes, shared and not to be modified
	 */
	public byte[] digest() {
		byte[] bytes = this.digest;
		if (bytes == null) {
			bytes = ConfigurationBinding.sha256(encoded());
			this.digest = bytes;
		}
		return bytes;
	}

	/**
	 * Finds the route of a request.
	 * @param method the HTTP method in upper case
	 * @param path path without query
	 * @return the first route that matches, or empty if none does
	 */
	public Optional<Route> route(String method, String path) {
		return this.routes.stream().filter((route) -> route.matches(method, path)).findFirst();
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof ServiceConfiguration service && this.name.equals(service.name)
				&& this.team.equals(service.team) && this.openToCallers == service.openToCallers
				&& this.calls.equals(service.calls) && this.routes.equals(service.routes)
				&& this.versions.equals(service.versions) && this.split.equals(service.split)
				&& this.limits.equals(service.limits) && Objects.equals(this.move, service.move)
				&& this.coldStart.equals(service.coldStart) && this.modifiedVersion == service.modifiedVersion;
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.name, this.modifiedVersion, this.split);
	}

	@Override
	public String toString() {
		return this.name + " split " + this.split + " modified in " + this.modifiedVersion;
	}

	/**
	 * Builds {@link ServiceConfiguration}.
	 */
	public static final class Builder {

		private final String name;

		private String team = "";

		private boolean openToCallers;

		private Collection<String> calls = Set.of();

		private Collection<Route> routes = List.of();

		private Collection<String> versions = Set.of();

		private Map<String, Integer> split = Map.of();

		private ServiceLimits limits = ServiceLimits.DEFAULT;

		private MoveParameters move;

		private ColdStart coldStart = ColdStart.NONE;

		private long modifiedVersion;

		private Builder(String name) {
			this.name = name;
		}

		public Builder team(String team) {
			this.team = team;
			return this;
		}

		/**
		 * Sets whether callers outside the mesh may use the service.
		 * @param open true if open
		 * @return this builder
		 */
		public Builder openToCallers(boolean open) {
			this.openToCallers = open;
			return this;
		}

		/**
		 * Sets the services that this one calls.
		 * @param calls names of the services
		 * @return this builder
		 */
		public Builder calls(Collection<String> calls) {
			this.calls = calls;
			return this;
		}

		/**
		 * Sets the routes.
		 * @param routes routes in matching order: the first match wins
		 * @return this builder
		 */
		public Builder routes(Collection<Route> routes) {
			this.routes = routes;
			return this;
		}

		/**
		 * Sets the known backend server versions.
		 * @param versions version names
		 * @return this builder
		 */
		public Builder versions(Collection<String> versions) {
			this.versions = versions;
			return this;
		}

		/**
		 * Sets the traffic split.
		 * @param split share of each version in 1/10,000
		 * @return this builder
		 */
		public Builder split(Map<String, Integer> split) {
			this.split = split;
			return this;
		}

		public Builder limits(ServiceLimits limits) {
			this.limits = limits;
			return this;
		}

		/**
		 * Sets the active move.
		 * @param move the parameters, or null for none
		 * @return this builder
		 */
		public Builder move(MoveParameters move) {
			this.move = move;
			return this;
		}

		/**
		 * Sets the load that the backend servers tolerate while they are cold.
		 * @param coldStart the cold start
		 * @return this builder
		 */
		public Builder coldStart(ColdStart coldStart) {
			this.coldStart = coldStart;
			return this;
		}

		/**
		 * Sets the mesh version that last changed the service.
		 * @param version the version
		 * @return this builder
		 */
		public Builder modifiedVersion(long version) {
			this.modifiedVersion = version;
			return this;
		}

		public ServiceConfiguration build() {
			return new ServiceConfiguration(this);
		}

	}

}
