package io.lavenderroad.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.policy.calls.RetryBudget;

/**
 * Validated settings of one daemon.
 */
public final class DaemonSettings {

	private final String cluster;

	private final String id;

	private final String role;

	private final String region;

	private final String failureDomain;

	private final String address;

	private final Ports ports;

	private final List<InetSocketAddress> seeds;

	private final Path dataFolder;

	private final LogSettings log;

	private final BackendSettings backend;

	private final List<MemberSettings> members;

	private final TlsSettings tls;

	private final Listeners listeners;

	private final GroupSettings group;

	private final CallSettings calls;

	private final ShutdownSettings shutdown;

	private final String interfaceName;

	private final Set<String> failureDomains;

	private DaemonSettings(Builder builder) {
		this.cluster = Objects.requireNonNull(builder.cluster, "cluster");
		this.id = Objects.requireNonNull(builder.id, "id");
		this.role = Objects.requireNonNull(builder.role, "role");
		this.region = Objects.requireNonNull(builder.region, "region");
		this.failureDomain = Objects.requireNonNull(builder.failureDomain, "failureDomain");
		this.address = Objects.requireNonNull(builder.address, "address");
		this.ports = Objects.requireNonNull(builder.ports, "ports");
		this.seeds = List.copyOf(builder.seeds);
		this.dataFolder = builder.dataFolder;
		this.log = Objects.requireNonNull(builder.log, "log");
		this.backend = builder.backend;
		this.members = List.copyOf(builder.members);
		this.tls = builder.tls;
		this.listeners = builder.listeners;
		this.group = builder.group;
		this.calls = builder.calls;
		this.shutdown = builder.shutdown;
		this.interfaceName = builder.interfaceName;
		this.failureDomains = Set.copyOf(builder.failureDomains);
	}

	/**
	 * Creates an empty builder.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the name of the cluster.
	 * @return the name; processes of other clusters are refused
	 */
	public String cluster() {
		return this.cluster;
	}

	/**
	 * Returns the id of this process.
	 * @return the id, unique in the cluster
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Returns the role.
	 * @return name of a registered role
	 */
	public String role() {
		return this.role;
	}

	/**
	 * Returns the region of the VM.
	 * @return the region
	 */
	public String region() {
		return this.region;
	}

	/**
	 * Returns the failure domain of the VM.
	 * @return the failure domain
	 */
	public String failureDomain() {
		return this.failureDomain;
	}

	/**
	 * Returns the failure domains of the deployment, which may be evacuated before a
	 * backend server has registered there.
	 * @return names; empty if the settings list none
	 */
	public Set<String> failureDomains() {
		return this.failureDomains;
	}

	/**
	 * Returns the socket address of a port of this process.
	 * @param port a port of this process
	 * @return the IP address with the port
	 */
	public InetSocketAddress socketAddress(int port) {
		try {
			return new InetSocketAddress(InetAddress.getByName(this.address), port);
		}
		catch (UnknownHostException ex) {
			throw new LavenderroadException("address '" + this.address + "' is no IP address", ex);
		}
	}

	/**
	 * Returns the address at which other processes reach the frames port.
	 * @return {@code ip:port}
	 */
	public String frameAddress() {
		return this.address + ":" + this.ports.frames();
	}

	/**
	 * Returns the ports.
	 * @return the ports
	 */
	public Ports ports() {
		return this.ports;
	}

	/**
	 * Returns the control members to contact first.
	 * @return addresses for frames; empty for control members
	 */
	public List<InetSocketAddress> seeds() {
		return this.seeds;
	}

	/**
	 * Returns the data folder.
	 * @return the folder; always present for control members
	 */
	public Optional<Path> dataFolder() {
		return Optional.ofNullable(this.dataFolder);
	}

	/**
	 * Returns the log settings.
	 * @return the settings
	 */
	public LogSettings log() {
		return this.log;
	}

	/**
	 * Returns the local backend server.
	 * @return the settings; present for nodes
	 */
	public Optional<BackendSettings> backend() {
		return Optional.ofNullable(this.backend);
	}

	/**
	 * Returns the first members of the control group.
	 * @return the members; empty for nodes, and for a control member that joins a running
	 * group
	 */
	public List<MemberSettings> members() {
		return this.members;
	}

	/**
	 * Returns the keys for TLS between the product's own processes and with operators.
	 * @return the files, or empty for plain TCP
	 */
	public Optional<TlsSettings> tls() {
		return Optional.ofNullable(this.tls);
	}

	/**
	 * Returns the address at which a node accepts callers, or a control member accepts
	 * operators.
	 * @return the address
	 */
	public InetSocketAddress httpAddress() {
		return this.listeners.http().orElseGet(() -> socketAddress(this.ports.http()));
	}

	/**
	 * Returns the listeners that have separate addresses.
	 * @return the listeners
	 */
	public Listeners listeners() {
		return this.listeners;
	}

	/**
	 * Returns how a control member finds its group if the settings name no members.
	 * @return the settings, or empty if the members are named or added by an operator
	 */
	public Optional<GroupSettings> group() {
		return Optional.ofNullable(this.group);
	}

	/**
	 * Returns the settings for calls.
	 * @return the settings
	 */
	public CallSettings calls() {
		return this.calls;
	}

	/**
	 * Returns the settings for the shutdown.
	 * @return the settings
	 */
	public ShutdownSettings shutdown() {
		return this.shutdown;
	}

	/**
	 * Returns the name of the interface that operators, callers and backend servers use.
	 * @return name of a registered interface, empty for the product's own
	 */
	public Optional<String> interfaceName() {
		return Optional.ofNullable(this.interfaceName);
	}

	/**
	 * Addresses of listeners that do not use the address and ports of the process.
	 *
	 * @param http listener for callers of a node, or for operators of a control member
	 * @param announcements listener for announcements of the backend server
	 * @param readiness listener for readiness probes of a node
	 */
	public record Listeners(Optional<InetSocketAddress> http, Optional<InetSocketAddress> announcements,
			Optional<InetSocketAddress> readiness) {

		/**
		 * No listener has a separate address.
		 */
		public static final Listeners NONE = new Listeners(Optional.empty(), Optional.empty(), Optional.empty());

	}

	/**
	 * How control members bootstrap and maintain their group without an operator.
	 *
	 * @param bootstrap whether this is the first start of the whole system, at which the
	 * seeds found the group
	 * @param voters number of voters of the group while all members are healthy
	 */
	public record GroupSettings(boolean bootstrap, int voters) {

	}

	/**
	 * Settings of a node for calls.
	 *
	 * @param retryBurst retries that a service may get from this node in a burst, in
	 * addition to its share of the calls
	 */
	public record CallSettings(int retryBurst) {

	}

	/**
	 * How a process shuts down after the stop signal.
	 *
	 * @param notReadyMillis how long a node that reports itself as not ready still admits
	 * calls, so that callers can switch to other nodes
	 * @param acceptAllMillis how long a node accepts requests that could outlast its
	 * process
	 * @param timeoutMillis maximum time until the process ends
	 */
	public record ShutdownSettings(long notReadyMillis, long acceptAllMillis, long timeoutMillis) {

		/**
		 * Waits for requests in flight as long as the longest timeout of a route.
		 */
		public static final ShutdownSettings DEFAULT = new ShutdownSettings(0, 0, 30_000);

		/**
		 * Fraction of the grace period in which callers can detect that the node is not
		 * ready.
		 */
		private static final double NOT_READY_FRACTION = 0.4;

		/**
		 * Fraction of the grace period in which requests are accepted whatever their
		 * deadline. Later ones must end before the process does.
		 */
		private static final double ACCEPT_ALL_FRACTION = 0.5;

		/**
		 * Fraction of the grace period after which the process ends, even with requests
		 * in flight.
		 */
		private static final double TIMEOUT_FRACTION = 0.87;

		/**
		 * Divides the grace period between the stop signal and the forced kill.
		 * @param gracePeriodMillis the grace period
		 * @return the settings
		 */
		public static ShutdownSettings forGracePeriod(long gracePeriodMillis) {
			return new ShutdownSettings((long) (gracePeriodMillis * NOT_READY_FRACTION),
					(long) (gracePeriodMillis * ACCEPT_ALL_FRACTION), (long) (gracePeriodMillis * TIMEOUT_FRACTION));
		}

	}

	/**
	 * Ports of a daemon.
	 *
	 * @param frames port for frames, as other processes use it
	 * @param framesBind port that is bound for frames; differs from {@code frames} only
	 * behind a port forwarder
	 * @param http port for callers of a node, or for operators of a control member
	 * @param admin port for metrics, health and drain
	 */
	public record Ports(int frames, int framesBind, int http, int admin) {

	}

	/**
	 * Level and destination of the log.
	 *
	 * @param level minimum level that is written
	 * @param file the log file; empty for standard output
	 */
	public record LogSettings(String level, Optional<Path> file) {

	}

	/**
	 * The local backend server of a node.
	 *
	 * @param service service that it provides
	 * @param version its version, empty if the backend server announces it
	 * @param address address at which it accepts HTTP
	 * @param slots requests that it runs at the same time
	 * @param capacity relative speed of a slot, 100 for a standard VM
	 * @param healthPath path of its health endpoint
	 * @param loadPath path of its load endpoint
	 * @param announceIntervalMillis interval at which it announces itself, 0 if the node
	 * polls its health and load pages instead
	 */
	public record BackendSettings(String service, String version, InetSocketAddress address, int slots, int capacity,
			String healthPath, String loadPath, int announceIntervalMillis) {

		/**
		 * Returns whether the backend server announces itself.
		 * @return false if the node polls its pages
		 */
		public boolean announces() {
			return this.announceIntervalMillis > 0;
		}

	}

	/**
	 * A member of the control group.
	 *
	 * @param id id of the member
	 * @param address {@code ip:port} for frames
	 */
	public record MemberSettings(String id, String address) {

	}

	/**
	 * Files with the keys for TLS.
	 *
	 * @param keyStore the PKCS #12 file with the key of this process
	 * @param trustStore the PKCS #12 file with the trusted authorities
	 * @param passwordFile file with the password of both
	 */
	public record TlsSettings(Path keyStore, Path trustStore, Path passwordFile) {

	}

	/**
	 * Builds {@link DaemonSettings}.
	 */
	public static final class Builder {

		private String cluster;

		private String id;

		private String role;

		private String region;

		private String failureDomain;

		private String address;

		private Ports ports;

		private List<InetSocketAddress> seeds = List.of();

		private Path dataFolder;

		private LogSettings log = new LogSettings("info", Optional.empty());

		private BackendSettings backend;

		private List<MemberSettings> members = List.of();

		private TlsSettings tls;

		private Listeners listeners = Listeners.NONE;

		private GroupSettings group;

		private CallSettings calls = new CallSettings(RetryBudget.BURST);

		private ShutdownSettings shutdown = ShutdownSettings.DEFAULT;

		private String interfaceName;

		private Set<String> failureDomains = Set.of();

		private Builder() {
		}

		/**
		 * Sets the identity of this process.
		 * @param cluster name of the cluster
		 * @param id id of the process
		 * @param role name of the role
		 * @return this builder
		 */
		public Builder identity(String cluster, String id, String role) {
			this.cluster = cluster;
			this.id = id;
			this.role = role;
			return this;
		}

		/**
		 * Sets the location of this process.
		 * @param region the region
		 * @param failureDomain the failure domain
		 * @param address the IP address
		 * @param ports the ports
		 * @return this builder
		 */
		public Builder location(String region, String failureDomain, String address, Ports ports) {
			this.region = region;
			this.failureDomain = failureDomain;
			this.address = address;
			this.ports = ports;
			return this;
		}

		/**
		 * Sets the failure domains of the deployment.
		 * @param failureDomains names
		 * @return this builder
		 */
		public Builder failureDomains(Set<String> failureDomains) {
			this.failureDomains = failureDomains;
			return this;
		}

		/**
		 * Sets the control members to contact first.
		 * @param seeds addresses for frames
		 * @return this builder
		 */
		public Builder seeds(List<InetSocketAddress> seeds) {
			this.seeds = seeds;
			return this;
		}

		/**
		 * Sets the data folder.
		 * @param dataFolder the folder, or null for none
		 * @return this builder
		 */
		public Builder dataFolder(Path dataFolder) {
			this.dataFolder = dataFolder;
			return this;
		}

		/**
		 * Sets the log settings.
		 * @param log the settings
		 * @return this builder
		 */
		public Builder log(LogSettings log) {
			this.log = log;
			return this;
		}

		/**
		 * Sets the local backend server.
		 * @param backend the settings, or null for none
		 * @return this builder
		 */
		public Builder backend(BackendSettings backend) {
			this.backend = backend;
			return this;
		}

		/**
		 * Sets the first members of the control group.
		 * @param members the members
		 * @return this builder
		 */
		public Builder members(List<MemberSettings> members) {
			this.members = members;
			return this;
		}

		/**
		 * Sets the keys for TLS.
		 * @param tls the files, or null for plain TCP
		 * @return this builder
		 */
		public Builder tls(TlsSettings tls) {
			this.tls = tls;
			return this;
		}

		/**
		 * Sets the listeners that have separate addresses.
		 * @param listeners the listeners
		 * @return this builder
		 */
		public Builder listeners(Listeners listeners) {
			this.listeners = listeners;
			return this;
		}

		/**
		 * Sets how a control member finds its group.
		 * @param group the settings, or null if the members are named
		 * @return this builder
		 */
		public Builder group(GroupSettings group) {
			this.group = group;
			return this;
		}

		/**
		 * Sets the settings for calls.
		 * @param calls the settings
		 * @return this builder
		 */
		public Builder calls(CallSettings calls) {
			this.calls = calls;
			return this;
		}

		/**
		 * Sets the settings for the shutdown.
		 * @param shutdown the settings
		 * @return this builder
		 */
		public Builder shutdown(ShutdownSettings shutdown) {
			this.shutdown = shutdown;
			return this;
		}

		/**
		 * Sets the interface.
		 * @param interfaceName name of a registered interface, or null for the product's
		 * own
		 * @return this builder
		 */
		public Builder interfaceName(String interfaceName) {
			this.interfaceName = interfaceName;
			return this;
		}

		/**
		 * Creates the settings.
		 * @return the settings
		 */
		public DaemonSettings build() {
			return new DaemonSettings(this);
		}

	}

}
