package io.lavenderroad.model;

import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

import io.lavenderroad.model.binding.ConfigurationBinding;

/**
 * A route that is selected by the host and the longest path prefix of a request. It
 * splits its requests among services by weight.
 */
public final class HostRoute {

	private final String name;

	private final String host;

	private final String pathPrefix;

	private final CallRules rules;

	private final SortedMap<String, Integer> weights;

	private final boolean allowsAnonymous;

	private final long modifiedVersion;

	private volatile byte[] encoded;

	private HostRoute(Builder builder) {
		this.name = Objects.requireNonNull(builder.name, "name");
		this.host = Objects.requireNonNull(builder.host, "host");
		this.pathPrefix = Objects.requireNonNull(builder.pathPrefix, "pathPrefix");
		this.rules = Objects.requireNonNull(builder.rules, "rules");
		this.weights = Collections.unmodifiableSortedMap(new TreeMap<>(builder.weights));
		this.allowsAnonymous = builder.allowsAnonymous;
		this.modifiedVersion = builder.modifiedVersion;
	}

	/**
	 * Creates a builder.
	 * @param name name of the route, unique in the mesh
	 * @return the builder
	 */
	public static Builder builder(String name) {
		return new Builder(name);
	}

	/**
	 * Returns the name of the route.
	 * @return the name, unique in the mesh
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the host of the requests.
	 * @return the host as it was declared, with or without a port
	 */
	public String host() {
		return this.host;
	}

	/**
	 * Returns the path prefix.
	 * @return the prefix, which begins and ends with a slash
	 */
	public String pathPrefix() {
		return this.pathPrefix;
	}

	/**
	 * Returns the rules for requests on this route.
	 * @return the rules, with the name of this route
	 */
	public CallRules rules() {
		return this.rules;
	}

	/**
	 * Returns the weights of the services.
	 * @return weight by service; at least one is above 0
	 */
	public SortedMap<String, Integer> weights() {
		return this.weights;
	}

	/**
	 * Returns whether callers may use the route without an access key. It matters only if
	 * the mesh has teams.
	 * @return true if no key is needed
	 */
	public boolean allowsAnonymous() {
		return this.allowsAnonymous;
	}

	/**
	 * Returns the mesh version that last changed this route.
	 * @return the version
	 */
	public long modifiedVersion() {
		return this.modifiedVersion;
	}

	/**
	 * Returns the MessagePack form, which is computed once.
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
	 * Returns the first 64 bits of the SHA-256 digest of the encoded form. The sum of the
	 * fingerprints of all routes identifies a set of routes.
	 * @return the bits
	 */
	long fingerprint() {
		return ByteBuffer.wrap(ConfigurationBinding.sha256(encoded())).getLong();
	}

	/**
	 * Sums the fingerprints of routes.
	 * @param routes the routes
	 * @return the sum
	 */
	static long fingerprint(Collection<HostRoute> routes) {
		return routes.stream().mapToLong(HostRoute::fingerprint).sum();
	}

	/**
	 * Returns a copy of this route with another modified version.
	 * @param version mesh version that last changed the route
	 * @return the copy
	 */
	public HostRoute withModifiedVersion(long version) {
		return builder(this.name).match(this.host, this.pathPrefix)
			.rules(this.rules)
			.weights(this.weights)
			.allowsAnonymous(this.allowsAnonymous)
			.modifiedVersion(version)
			.build();
	}

	/**
	 * Returns whether two routes are equal, ignoring the mesh version that last changed
	 * them.
	 * @param other the other route
	 * @return true if only the modified version may differ
	 */
	public boolean equalsIgnoringVersion(HostRoute other) {
		return this.name.equals(other.name) && this.host.equals(other.host) && this.pathPrefix.equals(other.pathPrefix)
				&& this.rules.equals(other.rules) && this.weights.equals(other.weights)
				&& this.allowsAnonymous == other.allowsAnonymous;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof HostRoute route && equalsIgnoringVersion(route)
				&& this.modifiedVersion == route.modifiedVersion;
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.name, this.modifiedVersion);
	}

	@Override
	public String toString() {
		return this.name + " " + this.host + this.pathPrefix + " to " + this.weights;
	}

	/**
	 * Builds {@link HostRoute}.
	 */
	public static final class Builder {

		private final String name;

		private String host;

		private String pathPrefix;

		private CallRules rules;

		private Map<String, Integer> weights = Map.of();

		private boolean allowsAnonymous;

		private long modifiedVersion;

		private Builder(String name) {
			this.name = name;
		}

		/**
		 * Sets which requests match the route.
		 * @param newHost host of the requests, with or without a port
		 * @param newPathPrefix prefix of the path, with a slash at both ends
		 * @return this builder
		 */
		public Builder match(String newHost, String newPathPrefix) {
			this.host = newHost;
			this.pathPrefix = newPathPrefix;
			return this;
		}

		public Builder rules(CallRules newRules) {
			this.rules = newRules;
			return this;
		}

		/**
		 * Sets the weights of the services.
		 * @param newWeights weight by service
		 * @return this builder
		 */
		public Builder weights(Map<String, Integer> newWeights) {
			this.weights = newWeights;
			return this;
		}

		/**
		 * Sends all requests to one service.
		 * @param service name of the service
		 * @return this builder
		 */
		public Builder service(String service) {
			return weights(Map.of(service, 1));
		}

		/**
		 * Sets whether callers may use the route without an access key.
		 * @param allowed true if no key is needed
		 * @return this builder
		 */
		public Builder allowsAnonymous(boolean allowed) {
			this.allowsAnonymous = allowed;
			return this;
		}

		/**
		 * Sets the mesh version that last changed the route.
		 * @param version the version
		 * @return this builder
		 */
		public Builder modifiedVersion(long version) {
			this.modifiedVersion = version;
			return this;
		}

		public HostRoute build() {
			return new HostRoute(this);
		}

	}

}
