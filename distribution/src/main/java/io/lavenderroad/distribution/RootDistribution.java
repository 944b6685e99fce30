package io.lavenderroad.distribution;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.WireOptions;
import io.lavenderroad.distribution.ActiveConfiguration.Outcome;
import io.lavenderroad.distribution.DistributionMessages.Attach;
import io.lavenderroad.distribution.DistributionMessages.EndpointUpdate;
import io.lavenderroad.distribution.DistributionMessages.FloorAnswer;
import io.lavenderroad.distribution.DistributionMessages.FloorRequest;
import io.lavenderroad.distribution.DistributionMessages.Hop;
import io.lavenderroad.distribution.DistributionMessages.PeerHello;
import io.lavenderroad.distribution.DistributionMessages.Report;
import io.lavenderroad.distribution.DistributionMessages.ReportAcknowledged;
import io.lavenderroad.distribution.DistributionMessages.RootProgress;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MeshConfiguration;
import org.tinylog.Logger;

/**
 * Distribution in a control member, which is one root of the relay tree. Roots exchange
 * announcements, evidence and status with each other, so that each of them covers the
 * whole mesh.
 */
public final class RootDistribution implements AutoCloseable {

	private final Clock clock;

	private final Hop self;

	private final EndpointRegistry registry = new EndpointRegistry();

	private final ActiveConfiguration active = new ActiveConfiguration((candidate) -> List.of(),
			ActiveConfiguration.VersionStore.NONE);

	private final Children children;

	private final Peers peers;

	private final OrphanSweep orphans = new OrphanSweep();

	private final FloorRequests floorRequests = new FloorRequests(this::confirmFloor);

	private final FloorRequests localFloorRequests;

	private final Consumer<Evidence> evidenceListener;

	private final LongSupplier quorumAgeMillis;

	private final Handler handler = new Handler();

	private final ProgressSignal progress = new ProgressSignal();

	private volatile boolean closed;

	private RootDistribution(Builder builder) {
		WireOptions options = Objects.requireNonNull(builder.options, "options");
		this.clock = builder.clock;
		this.self = new Hop(options.hello().senderId(), options.hello().frameAddress());
		this.evidenceListener = builder.evidenceListener;
		this.quorumAgeMillis = builder.quorumAgeMillis;
		this.localFloorRequests = new FloorRequests(builder.confirmCommittedVersion);
		this.children = new Children(new RootParent(), builder.placement, builder.attachesPerSecond);
		this.peers = new Peers(options, this.clock, builder.random, builder.peers, this.registry, this.handler,
				this.children::oldestVersion);
	}

	/**
	 * Creates a builder.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Starts to connect to the other control members. The frame server of the process
	 * must pass messages of the types in {@link DistributionMessages#types()} to
	 * {@link #handler()}.
	 */
	public void start() {
		this.peers.start();
		Thread.ofVirtual().name("distribution " + this.self.id()).start(this::runPeriodicChecks);
	}

	/**
	 * Returns the handler for connections that the frame server accepts.
	 * @return the handler
	 */
	public ConnectionHandler handler() {
		return this.handler;
	}

	/**
	 * Publishes a committed version. A version older than the last published one is
	 * ignored.
	 * @param configuration the whole configuration
	 */
	public void publish(MeshConfiguration configuration) {
		Outcome outcome = this.active.offer(configuration, configuration.digest(), true, false);
		if (outcome.result() == ActiveConfiguration.Result.ACTIVATED) {
			this.children.wake();
		}
	}

	/**
	 * Sets the other control members after a change of the membership. The addresses are
	 * sent down the tree, and nodes try them in addition to the seeds of their settings.
	 * @param addresses {@code ip:port} of each other member
	 */
	public void peers(List<String> addresses) {
		this.peers.set(addresses);
		this.children.rootsChanged(roots());
	}

	/**
	 * Waits until a version is active on every node that is attached to this or another
	 * connected control member. Nodes whose connection is lost are not waited for.
	 * @param version the version
	 * @param timeoutMillis maximum wait
	 * @return false if an attached node still serves an older version at the end of the
	 * wait
	 */
	public boolean awaitActive(long version, long timeoutMillis) {
		boolean everywhere = this.progress.await(() -> oldestVersion() >= version, timeoutMillis);
		if (!everywhere) {
			Logger.info(
					"distribution: Version {} is not active below the children {} of this member and below the members {}.",
					version, this.children.laggingChildren(version), this.peers.laggingMembers(version));
		}
		return everywhere;
	}

	private long oldestVersion() {
		return Math.min(this.children.oldestVersion(), this.peers.oldestVersion());
	}

	/**
	 * Returns the convergence of the nodes of the mesh.
	 * @return the status as reported
	 */
	public ConvergenceStatus status() {
		long version = this.active.current().version();
		SubtreeStatus status = subtreeStatus().plus(this.peers.status());
		List<String> unreachable = this.registry.entries()
			.stream()
			.map(EndpointRegistry.Entry::endpoint)
			.filter((endpoint) -> endpoint.state() == EndpointState.EXPIRED && !endpoint.attachedTo().isEmpty())
			.map(Endpoint::nodeId)
			.sorted()
			.toList();
		return new ConvergenceStatus(version, status.versions(), status.withNodesBehind(version).laggingNodes(),
				status.rejected(), unreachable.stream().limit(SubtreeStatus.MAXIMUM_LIST_SIZE).toList(),
				unreachable.size(), status.depth(), status.bytesSent(), status.bytesReceived());
	}

	/**
	 * Returns the endpoints of the mesh.
	 * @return the registry
	 */
	public EndpointRegistry registry() {
		return this.registry;
	}

	/**
	 * Leaves the tree: asks the children to attach to another root, then closes.
	 */
	@Override
	public void close() {
		if (this.closed) {
			return;
		}
		this.children.leave("control member " + this.self.id() + " is stopping");
		long startMillis = this.clock.millis();
		while (this.peers.connected() && this.children.size() > 0
				&& this.clock.millis() - startMillis < TreeTimes.ORPHAN_TIMEOUT_MILLIS) {
			if (!sleep(10)) {
				break;
			}
		}
		abort("control member " + this.self.id() + " is stopping");
	}

	/**
	 * Closes all connections immediately without notice to peers, as a crash of the
	 * process does.
	 * @param reason short sentence for the logs
	 */
	void abort(String reason) {
		this.closed = true;
		this.peers.close(reason);
		this.children.close(reason);
	}

	/**
	 * Returns the control traffic of this process alone.
	 * @return bytes sent and received
	 */
	long localBytes() {
		return this.children.bytes().sent() + this.children.bytes().received() + this.peers.bytes().sent()
				+ this.peers.bytes().received();
	}

	private SubtreeStatus subtreeStatus() {
		SubtreeStatus progress = this.children.status().withNodesBehind(this.active.current().version());
		return new SubtreeStatus(progress.versions(), progress.laggingNodes(), progress.rejected(), progress.depth(),
				progress.bytesSent() + this.children.bytes().sent() + this.peers.bytes().sent(),
				progress.bytesReceived() + this.children.bytes().received() + this.peers.bytes().received());
	}

	private void runPeriodicChecks() {
		long lastHeartbeatMillis = 0;
		long lastReportMillis = 0;
		long lastCleanupMillis = this.clock.millis();
		while (!this.closed && sleep(TreeTimes.CHECK_MILLIS)) {
			long now = this.clock.millis();
			boolean heartbeatDue = now - lastHeartbeatMillis >= TreeTimes.HEARTBEAT_MILLIS;
			boolean reportDue = now - lastReportMillis >= TreeTimes.REPORT_MILLIS;
			boolean cleanupDue = now - lastCleanupMillis >= TreeTimes.CLEANUP_MILLIS;
			lastHeartbeatMillis = heartbeatDue ? now : lastHeartbeatMillis;
			lastReportMillis = reportDue ? now : lastReportMillis;
			lastCleanupMillis = cleanupDue ? now : lastCleanupMillis;
			try {
				check(now, heartbeatDue, reportDue, cleanupDue);
			}
			catch (RuntimeException ex) {
				Logger.error(ex, "distribution: A periodic check of {} failed.", this.self.id());
			}
		}
	}

	private void check(long now, boolean heartbeatDue, boolean reportDue, boolean cleanupDue) {
		this.children.expireLeases();
		if (heartbeatDue) {
			this.children.heartbeat();
			this.peers.heartbeat();
		}
		if (reportDue) {
			this.peers.report(subtreeStatus());
			expireOrphans(now);
		}
		if (cleanupDue) {
			this.registry.removeExpired(now);
		}
	}

	private void expireOrphans(long now) {
		List<Endpoint> expired = this.orphans.expired(this.registry.entries(), this::isAlive, now);
		if (!expired.isEmpty()) {
			Logger.info("distribution: Expired {} endpoints whose parent is disconnected or has restarted: {}.",
					expired.size(), expired.stream().map(Endpoint::nodeId).toList());
			merge(expired, null, null);
		}
	}

	private List<String> roots() {
		TreeSet<String> addresses = new TreeSet<>(this.peers.addresses());
		addresses.add(this.self.address());
		return List.copyOf(addresses);
	}

	private boolean isAlive(String processId) {
		return processId.equals(this.self.id()) || this.peers.connected(processId)
				|| this.registry.find(processId)
					.map((endpoint) -> endpoint.state() != EndpointState.EXPIRED)
					.orElse(false);
	}

	/**
	 * Merges announcements and forwards those that changed the registry.
	 * @param endpoints the announcements
	 * @param childId id of the child that sent them, or null
	 * @param peerId id of the control member that sent them, or null
	 */
	void merge(List<Endpoint> endpoints, String childId, String peerId) {
		long now = this.clock.millis();
		List<Endpoint> merged = this.registry.merge(endpoints, peerId == null, now);
		if (!merged.isEmpty()) {
			this.children.startLeases(merged);
			this.children.announce(merged, childId);
			this.peers.announce(merged, peerId);
		}
	}

	private Optional<Long> confirmFloor() {
		Optional<Long> local = this.localFloorRequests.request(TreeTimes.CALL_TIMEOUT_MILLIS);
		return local.isPresent() ? local : this.peers.askForFloor();
	}

	private static boolean sleep(long millis) {
		try {
			Thread.sleep(millis);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Builds {@link RootDistribution}.
	 */
	public static final class Builder extends DistributionBuilder<Builder> {

		private List<String> peers = List.of();

		private Supplier<Optional<Long>> confirmCommittedVersion = Optional::empty;

		private Consumer<Evidence> evidenceListener = (evidence) -> {
		};

		private LongSupplier quorumAgeMillis = () -> 0;

		private Placement placement = Placement.ROOT;

		private Builder() {
			super(TreeTimes.ROOT_ATTACHES_PER_SECOND);
		}

		@Override
		Builder self() {
			return this;
		}

		/**
		 * Sets the other control members.
		 * @param peers {@code ip:port} of each
		 * @return this builder
		 */
		public Builder peers(List<String> peers) {
			this.peers = List.copyOf(peers);
			return this;
		}

		/**
		 * Sets how the committed version is confirmed.
		 * @param confirm runs a quorum round and returns the committed version; empty if
		 * this member is not the leader or has no quorum
		 * @return this builder
		 */
		public Builder confirmCommittedVersion(Supplier<Optional<Long>> confirm) {
			this.confirmCommittedVersion = confirm;
			return this;
		}

		/**
		 * Sets the source of the age of the last contact with a quorum: at the leader the
		 * last successful quorum check, at a follower the last contact with the leader.
		 * Nodes leave a root whose last contact is older than 3 s as soon as another one
		 * accepts them, since an isolated root gets no new versions.
		 * @param ageMillis returns the age in milliseconds
		 * @return this builder
		 */
		public Builder quorumAgeMillis(LongSupplier ageMillis) {
			this.quorumAgeMillis = ageMillis;
			return this;
		}

		/**
		 * Sets which children this member accepts itself. Fewer direct children make a
		 * deeper tree.
		 * @param decision decides about callers
		 * @return this builder
		 */
		Builder placement(Placement decision) {
			this.placement = decision;
			return this;
		}

		/**
		 * Sets the receiver of evidence. Each root gets the evidence of the whole mesh.
		 * @param listener called once with each piece of evidence; must not block
		 * @return this builder
		 */
		public Builder evidenceListener(Consumer<Evidence> listener) {
			this.evidenceListener = listener;
			return this;
		}

		/**
		 * Creates the distribution, which is inactive until it is started.
		 * @return the distribution
		 */
		public RootDistribution build() {
			return new RootDistribution(this);
		}

	}

	/**
	 * Dispatches the messages of children and of other control members.
	 */
	private final class Handler implements ConnectionHandler {

		@Override
		public void received(Connection connection, Object message) {
			Optional<String> peerId = RootDistribution.this.peers.idOf(connection);
			if (peerId.isPresent() && message instanceof EndpointUpdate update) {
				merge(update.endpoints(), null, peerId.get());
			}
			else if (peerId.isPresent() && message instanceof RootProgress peerProgress) {
				RootDistribution.this.peers.progressed(connection, peerProgress.oldestVersion());
				RootDistribution.this.progress.changed();
			}
			else {
				RootDistribution.this.children.received(connection, message);
			}
		}

		@Override
		public Object answer(Connection connection, Object request) {
			return switch (request) {
				case Attach attach -> RootDistribution.this.children.attach(connection, attach);
				case Report report -> report(connection, report);
				case FloorRequest floor -> answer(floor.forwarded() ? RootDistribution.this.localFloorRequests
						: RootDistribution.this.floorRequests);
				case PeerHello hello -> RootDistribution.this.peers.acceptLink(connection, hello);
				default ->
					throw new LavenderroadException("no answer to " + request.getClass().getSimpleName() + " here");
			};
		}

		@Override
		public void closed(Connection connection, String reason) {
			RootDistribution.this.peers.closed(connection);
			RootDistribution.this.children.closed(connection);
			RootDistribution.this.progress.changed();
		}

		private ReportAcknowledged report(Connection connection, Report report) {
			Optional<String> peerId = RootDistribution.this.peers.idOf(connection);
			if (peerId.isEmpty()) {
				return RootDistribution.this.children.report(connection, report);
			}
			RootDistribution.this.peers.reported(connection, report).ifPresent(RootDistribution.this.evidenceListener);
			return new ReportAcknowledged(report.sequence());
		}

		private FloorAnswer answer(FloorRequests requests) {
			return requests.request(2 * TreeTimes.CALL_TIMEOUT_MILLIS)
				.map((version) -> new FloorAnswer(true, version))
				.orElse(new FloorAnswer(false, 0));
		}

	}

	/**
	 * This control member as the parent of its children.
	 */
	private final class RootParent implements Children.Parent {

		@Override
		public Clock clock() {
			return RootDistribution.this.clock;
		}

		@Override
		public Hop self() {
			return RootDistribution.this.self;
		}

		@Override
		public ActiveConfiguration active() {
			return RootDistribution.this.active;
		}

		@Override
		public EndpointRegistry registry() {
			return RootDistribution.this.registry;
		}

		@Override
		public List<Hop> path() {
			return List.of(RootDistribution.this.self);
		}

		@Override
		public long rootAgeMillis() {
			return RootDistribution.this.quorumAgeMillis.getAsLong();
		}

		@Override
		public List<String> roots() {
			return RootDistribution.this.roots();
		}

		@Override
		public boolean prepareToRelay() {
			return true;
		}

		@Override
		public void endpointsFromSubtree(List<Endpoint> endpoints, String senderId) {
			merge(endpoints, senderId, null);
		}

		@Override
		public void progressFromSubtree() {
			RootDistribution.this.peers.announceProgress();
			RootDistribution.this.progress.changed();
		}

		@Override
		public void evidenceFromSubtree(Evidence evidence) {
			if (!evidence.isEmpty()) {
				RootDistribution.this.evidenceListener.accept(evidence);
				RootDistribution.this.peers.evidence(evidence);
			}
		}

	}

}
