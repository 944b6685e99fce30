package io.lavenderroad.distribution;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricSet;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.WireOptions;
import io.lavenderroad.distribution.DistributionMessages.Advance;
import io.lavenderroad.distribution.DistributionMessages.Attach;
import io.lavenderroad.distribution.DistributionMessages.ChildHeartbeat;
import io.lavenderroad.distribution.DistributionMessages.Delta;
import io.lavenderroad.distribution.DistributionMessages.EndpointUpdate;
import io.lavenderroad.distribution.DistributionMessages.FloorAnswer;
import io.lavenderroad.distribution.DistributionMessages.FloorRequest;
import io.lavenderroad.distribution.DistributionMessages.Hop;
import io.lavenderroad.distribution.DistributionMessages.Leaving;
import io.lavenderroad.distribution.DistributionMessages.ParentHeartbeat;
import io.lavenderroad.distribution.DistributionMessages.PathUpdate;
import io.lavenderroad.distribution.DistributionMessages.RegistryDigests;
import io.lavenderroad.distribution.DistributionMessages.RegistryRequest;
import io.lavenderroad.distribution.DistributionMessages.Report;
import io.lavenderroad.distribution.DistributionMessages.Roots;
import io.lavenderroad.distribution.DistributionMessages.Subscribe;
import io.lavenderroad.distribution.DistributionMessages.SubscribeAgain;
import io.lavenderroad.distribution.DistributionMessages.WholeSlice;
import io.lavenderroad.model.ConfigurationFreshness;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.model.Scope;
import org.tinylog.Logger;

/**
 * Distribution in a node. It keeps the node attached to a parent, holds the configuration
 * slice and the endpoints in scope, and relays both to other nodes that are redirected to
 * this one. The lock guards the local endpoint, the scope and the floor.
 */
public final class NodeDistribution implements MeshView, AutoCloseable {

	private final WireOptions options;

	private final Clock clock;

	private final Hop self;

	private final EndpointRegistry registry = new EndpointRegistry();

	private final ActiveConfiguration active;

	private final Children children;

	private final Uplink uplink;

	private final EvidenceSender evidence = new EvidenceSender();

	private final FloorRequests floorRequests = new FloorRequests(this::askParentForFloor);

	private final VersionFloor floor;

	private final ByteCount bytes = new ByteCount();

	private final DistributionMetrics metrics = new DistributionMetrics();

	private final AtomicLong attaches = new AtomicLong();

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private final SliceUpdates updates;

	private final RandomGenerator random;

	private volatile List<String> seeds;

	private final long drainMillis;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final Handler handler = new Handler();

	private final ConnectionHandler outgoing;

	private Endpoint localEndpoint;

	private Scope scope;

	private volatile ParentSession lastSession;

	private volatile List<String> roots = List.of();

	private volatile boolean closed;

	NodeDistribution(NodeDistributionBuilder builder) {
		this.options = Objects.requireNonNull(builder.options, "options");
		this.seeds = builder.seeds;
		this.seeds.forEach(Uplink::address);
		this.clock = builder.clock;
		this.random = builder.random;
		this.localEndpoint = Objects.requireNonNull(builder.endpoint, "endpoint");
		this.self = new Hop(this.localEndpoint.nodeId(), this.localEndpoint.frameAddress());
		this.scope = Scope.of(this.localEndpoint.service());
		this.drainMillis = builder.drainMillis;
		this.outgoing = builder.outgoing.apply(this.handler);
		Optional<VersionFile> file = Optional.ofNullable(builder.dataFolder)
			.map((folder) -> new VersionFile(folder, this.self.id()));
		this.active = new ActiveConfiguration(builder.validator,
				file.<ActiveConfiguration.VersionStore>map((value) -> value)
					.orElse(ActiveConfiguration.VersionStore.NONE));
		this.floor = new VersionFloor(this.self.id(), this.random, this.floorRequests);
		this.updates = new SliceUpdates(this.self.id(), this.clock, this.active, this.metrics, new NodeUpdates());
		file.flatMap(VersionFile::load).ifPresent(this::restore);
		this.children = new Children(new NodeParent(), Placement.RELAY, builder.attachesPerSecond);
		this.metrics.gauges(this::freshness, () -> this.active.current().version(), this.children::size);
		this.uplink = new Uplink(new NodeUplink(), this.options, this.clock, builder.random, this::seeds,
				this::localEndpoint);
	}

	private void restore(VersionFile.Stored stored) {
		this.active.restore(stored.configuration(), stored.everything());
		this.floor.restored();
		if (stored.everything()) {
			this.scope = Scope.everything();
		}
	}

	/**
	 * Creates a builder.
	 * @return the builder
	 */
	public static NodeDistributionBuilder builder() {
		return new NodeDistributionBuilder();
	}

	/**
	 * Starts to attach. The frame server of the process must pass messages of the types
	 * in {@link DistributionMessages#types()} to {@link #handler()}.
	 */
	public void start() {
		this.registry.merge(List.of(localEndpoint()), true, this.clock.millis());
		this.uplink.start();
		Thread.ofVirtual().name("distribution " + this.self.id()).start(this::runPeriodicChecks);
		Thread.ofVirtual().name("report " + this.self.id()).start(this::reportPeriodically);
		if (!this.floor.isConfirmed()) {
			Thread.ofVirtual().name("floor " + this.self.id()).start(this::confirmFloor);
		}
	}

	/**
	 * Returns the handler for connections that the frame server accepts.
	 * @return the handler
	 */
	public ConnectionHandler handler() {
		return this.handler;
	}

	@Override
	public Optional<MeshConfiguration> configuration() {
		MeshConfiguration current = this.active.current();
		return (current.version() > 0 && this.floor.allows(current.version())) ? Optional.of(current)
				: Optional.empty();
	}

	@Override
	public ConfigurationFreshness freshness() {
		ParentSession last = this.lastSession;
		long announcedVersion = (last != null) ? last.parentVersion() : 0;
		return new ConfigurationFreshness(rootAgeMillis(), Math.max(announcedVersion, this.active.current().version()));
	}

	@Override
	public List<Endpoint> endpoints(String service) {
		return this.registry.unexpired(service);
	}

	@Override
	public void onChange(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns the endpoint registry of this node.
	 * @return the registry
	 */
	public EndpointRegistry registry() {
		return this.registry;
	}

	/**
	 * Announces the local backend server.
	 * @param state its state
	 */
	public void announce(EndpointState state) {
		announce((endpoint) -> endpoint.withState(state), true);
	}

	/**
	 * Announces a change of the local backend server. Nothing is sent if nothing changes.
	 * @param change maps the last announced endpoint to the present one
	 */
	public void announce(UnaryOperator<Endpoint> change) {
		announce(change, false);
	}

	private void announce(UnaryOperator<Endpoint> change, boolean always) {
		Endpoint next;
		this.lock.lock();
		try {
			Endpoint changed = change.apply(this.localEndpoint);
			if (!always && changed.equals(this.localEndpoint)) {
				return;
			}
			// An expired entry with a parent denotes a lease that ran out; an empty
			// parent denotes a node that left.
			String parent = (changed.state() != EndpointState.EXPIRED) ? parentId() : "";
			this.localEndpoint = changed.next(changed.state(), parent);
			next = this.localEndpoint;
		}
		finally {
			this.lock.unlock();
		}
		endpointsFromSubtree(List.of(next), null);
	}

	/**
	 * Reports evidence. It is added to earlier evidence and sent with the next report.
	 * While the node is attached and has evidence, a report is due every 250 ms.
	 * @param observed observations that were not reported before
	 */
	public void report(Evidence observed) {
		this.evidence.add(observed);
	}

	/**
	 * Returns the state of the distribution in this node.
	 * @return the state
	 */
	public NodeStatus status() {
		Optional<ParentSession> session = this.uplink.session();
		return new NodeStatus(this.active.current().version(), configuration().isPresent(),
				session.map((present) -> present.parent().id()),
				session.map((present) -> present.path().stream().map(Hop::id).toList()).orElse(List.of()),
				this.children.size(), rootAgeMillis(), this.active.everything(), this.attaches.get(),
				this.evidence.droppedReports(), bytesSent(), bytesReceived());
	}

	/**
	 * Returns the metrics of the distribution in this node.
	 * @return metrics by name
	 */
	public MetricSet metrics() {
		return this.metrics;
	}

	/**
	 * Sets the seed addresses, which are tried in addition to the roots that the parent
	 * announces.
	 * @param addresses {@code ip:port} of control members, or of any node
	 */
	public void seeds(List<String> addresses) {
		addresses.forEach(Uplink::address);
		this.seeds = List.copyOf(addresses);
	}

	/**
	 * Returns the control members that this node knows.
	 * @return {@code ip:port} of the roots that the parent announced, or the seeds before
	 * the first attachment, which may also be nodes
	 */
	public List<String> controlMembers() {
		List<String> announced = this.roots;
		return announced.isEmpty() ? this.seeds : announced;
	}

	/**
	 * Asks the children to attach elsewhere and accepts no new ones.
	 */
	public void detachChildren() {
		this.children.leave("node " + this.self.id() + " is stopping");
	}

	/**
	 * Leaves the tree: asks the children to attach elsewhere, waits for them for at most
	 * the drain time, then announces the local endpoint as expired.
	 */
	@Override
	public void close() {
		if (this.closed) {
			return;
		}
		this.uplink.session()
			.ifPresent((session) -> session.outbox().offer(new Leaving("node " + this.self.id() + " is stopping")));
		detachChildren();
		long startMillis = this.clock.millis();
		while (this.children.size() > 0 && this.clock.millis() - startMillis < this.drainMillis) {
			if (!sleep(10)) {
				break;
			}
		}
		announce(EndpointState.EXPIRED);
		this.uplink.session().ifPresent((session) -> {
			sendReport(session);
			session.connection().send(new EndpointUpdate(List.of(localEndpoint())));
			session.connection().send(new Leaving("node " + this.self.id() + " is stopping"));
		});
		abort("node " + this.self.id() + " is stopping");
	}

	/**
	 * Closes all connections immediately without notice to peers, as a crash of the
	 * process does.
	 * @param reason short sentence for the logs
	 */
	void abort(String reason) {
		this.closed = true;
		this.uplink.close(reason);
		this.children.close(reason);
		this.updates.close();
	}

	private Endpoint localEndpoint() {
		this.lock.lock();
		try {
			return this.localEndpoint;
		}
		finally {
			this.lock.unlock();
		}
	}

	private List<String> seeds() {
		Set<String> all = new LinkedHashSet<>(this.seeds);
		all.addAll(this.roots);
		return List.copyOf(all);
	}

	/**
	 * Returns the roots that the parent announced.
	 * @return addresses, empty before the first attachment
	 */
	List<String> roots() {
		return this.roots;
	}

	private String parentId() {
		return this.uplink.session().map((session) -> session.parent().id()).orElse("");
	}

	private List<Hop> path() {
		// After the loss of the parent the last path is kept until another parent
		// accepts, so that the children keep the addresses of their ancestors.
		ParentSession last = this.lastSession;
		return TreePath.extend((last != null) ? last.path() : List.of(), this.self);
	}

	private long rootAgeMillis() {
		ParentSession last = this.lastSession;
		return (last != null) ? last.rootAgeMillis() : Long.MAX_VALUE / 2;
	}

	private long bytesSent() {
		return this.bytes.sent() + this.children.bytes().sent();
	}

	private long bytesReceived() {
		return this.bytes.received() + this.children.bytes().received();
	}

	private void changed() {
		this.lock.lock();
		try {
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
		for (Runnable listener : this.listeners) {
			try {
				listener.run();
			}
			catch (RuntimeException ex) {
				Logger.error(ex, "distribution: A listener of node {} failed.", this.self.id());
			}
		}
	}

	private void runPeriodicChecks() {
		long lastCleanupMillis = this.clock.millis();
		while (!this.closed && sleep(TreeTimes.LEASE_CHECK_MILLIS)) {
			long now = this.clock.millis();
			boolean cleanupDue = now - lastCleanupMillis >= TreeTimes.CLEANUP_MILLIS;
			lastCleanupMillis = cleanupDue ? now : lastCleanupMillis;
			try {
				this.children.expireLeases();
				if (cleanupDue) {
					cleanUp(now);
				}
			}
			catch (RuntimeException ex) {
				Logger.error(ex, "distribution: A periodic check of node {} failed.", this.self.id());
			}
		}
	}

	private void cleanUp(long now) {
		this.registry.removeExpired(now);
		if (rootAgeMillis() < TreeTimes.ROOT_AGE_LIMIT_MILLIS) {
			endpointsFromParent(this.registry.unconfirmed(now));
		}
	}

	private boolean sleep(long millis) {
		try {
			Thread.sleep(millis);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	private void reportPeriodically() {
		// A random initial delay spreads the reports of nodes that started together.
		boolean running = sleep(this.random.nextLong(TreeTimes.REPORT_MILLIS) + 1);
		long lastMillis = 0;
		while (running && !this.closed) {
			long now = this.clock.millis();
			if (this.evidence.hasEvidence() || now - lastMillis >= TreeTimes.REPORT_MILLIS) {
				lastMillis = now;
				this.uplink.session().ifPresentOrElse(this::sendReport, () -> this.evidence.noReceiver(now));
			}
			running = sleep(TreeTimes.EVIDENCE_REPORT_MILLIS);
		}
	}

	private void sendReport(ParentSession session) {
		this.evidence.send(session.connection(), subtreeStatus(), this.clock.millis());
	}

	private SubtreeStatus subtreeStatus() {
		long version = configuration().map(MeshConfiguration::version).orElse(0L);
		SubtreeStatus local = new SubtreeStatus(new TreeMap<>(Map.of(version, 1)),
				List.of(new NodeVersion(this.self.id(), version)), this.updates.rejected().stream().toList(), 0,
				bytesSent(), bytesReceived());
		return this.children.status().withNodesBehind(version).plus(local);
	}

	private void confirmFloor() {
		if (this.floor.confirm(this::awaitParent)) {
			reportProgress();
			changed();
		}
	}

	private boolean awaitParent() {
		this.lock.lock();
		try {
			while (this.uplink.session().isEmpty() && !this.closed) {
				this.changed.await(TreeTimes.CHECK_MILLIS, TimeUnit.MILLISECONDS);
			}
			return !this.closed;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		finally {
			this.lock.unlock();
		}
	}

	private Optional<Long> askParentForFloor() {
		Optional<ParentSession> session = this.uplink.session();
		if (session.isEmpty()) {
			return Optional.empty();
		}
		return session.get()
			.connection()
			.call(new FloorRequest(false), TreeTimes.CALL_TIMEOUT_MILLIS, FloorAnswer.class)
			.toJavaOptional()
			.filter(FloorAnswer::confirmed)
			.map(FloorAnswer::version);
	}

	private void endpointsFromSubtree(List<Endpoint> endpoints, String senderId) {
		List<Endpoint> merged = this.registry.merge(endpoints, true, this.clock.millis());
		if (!merged.isEmpty()) {
			this.uplink.session().ifPresent((session) -> session.outbox().offer(merged));
			this.children.announce(merged, senderId);
			changed();
		}
	}

	private void endpointsFromParent(List<Endpoint> endpoints) {
		exceedIncarnations(endpoints);
		List<Endpoint> merged = this.registry.merge(endpoints, false, this.clock.millis());
		if (!merged.isEmpty()) {
			this.children.announce(merged, null);
			changed();
		}
		Endpoint local = localEndpoint();
		boolean localExpired = merged.stream()
			.anyMatch((endpoint) -> endpoint.nodeId().equals(local.nodeId())
					&& endpoint.incarnation() == local.incarnation() && endpoint.state() == EndpointState.EXPIRED);
		if (localExpired && !this.closed && local.state() != EndpointState.EXPIRED) {
			// A process on the other side of a partition expired this node; an
			// announcement with a larger sequence number overrides that.
			announce(local.state());
		}
	}

	/**
	 * Takes an incarnation above that of an earlier process of this node, whose clock was
	 * ahead, since other processes ignore smaller ones. The node attaches again, because
	 * its parent counts reports by the incarnation that it attached with.
	 * @param endpoints entries of the parent
	 */
	private void exceedIncarnations(List<Endpoint> endpoints) {
		Endpoint local = localEndpoint();
		endpoints.stream()
			.filter((endpoint) -> endpoint.nodeId().equals(local.nodeId()))
			.mapToLong(Endpoint::incarnation)
			.filter((incarnation) -> incarnation > local.incarnation() && incarnation < Long.MAX_VALUE)
			.max()
			.ifPresent((incarnation) -> {
				Logger.warn("distribution: Node {} was known with incarnation {}; its own {} becomes {}.",
						local.nodeId(), incarnation, local.incarnation(), incarnation + 1);
				announce((endpoint) -> endpoint.withIncarnation(incarnation + 1), true);
				this.uplink.session()
					.ifPresent((session) -> session.connection().close("attaching with a larger incarnation"));
			});
	}

	private void compareRegistry(ParentSession session, Map<String, Long> parentDigests) {
		Map<String, Long> local = this.registry.digests((service) -> true);
		Set<String> services = new TreeSet<>(local.keySet());
		services.addAll(parentDigests.keySet());
		services.removeIf((service) -> Objects.equals(local.get(service), parentDigests.get(service)));
		this.registry.markUnconfirmed(services::contains, this.clock.millis());
		session.outbox().offer(this.registry.select(services::contains, true));
		session.outbox().offer(new RegistryRequest(new ArrayList<>(services)));
	}

	private void subscribe(ParentSession session, boolean namesGiven, boolean whole) {
		this.lock.lock();
		try {
			MeshConfiguration current = this.active.current();
			boolean scopeWidened = this.scope.all() && !this.active.everything();
			boolean requestWhole = whole || scopeWidened;
			this.updates.wholeRequested(requestWhole);
			Set<String> names = current.services().keySet();
			Set<String> inScope = new HashSet<>(names);
			inScope.addAll(this.scope.localServices());
			long registryDigest = this.registry.digest((service) -> this.scope.all() || inScope.contains(service));
			session.outbox()
				.offer(new Subscribe(this.scope, current.version(), current.digest(), ServiceNames.digest(names),
						namesGiven, namesGiven ? List.copyOf(names) : List.of(), requestWhole, registryDigest));
		}
		finally {
			this.lock.unlock();
		}
	}

	private boolean widenScope() {
		this.lock.lock();
		try {
			if (!this.scope.all()) {
				this.scope = Scope.everything();
				Logger.debug("distribution: Node {} becomes a relay.", this.self.id());
				this.uplink.session().ifPresent((session) -> subscribe(session, false, false));
			}
			long remainingNanos = TimeUnit.MILLISECONDS.toNanos(TreeTimes.WIDEN_SCOPE_TIMEOUT_MILLIS);
			while (!readyToRelay() && remainingNanos > 0) {
				remainingNanos = this.changed.awaitNanos(remainingNanos);
			}
			return readyToRelay();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		finally {
			this.lock.unlock();
		}
	}

	private boolean readyToRelay() {
		// Before the first version there is nothing to serve, so a relay accepts
		// children.
		return this.active.everything()
				|| this.uplink.session().map((session) -> session.parentVersion() == 0).orElse(false);
	}

	private ChildHeartbeat heartbeat() {
		long serving = configuration().map(MeshConfiguration::version).orElse(Long.MAX_VALUE);
		return new ChildHeartbeat(this.active.current().version(), Math.min(serving, this.children.oldestVersion()));
	}

	private void reportProgress() {
		this.uplink.session().ifPresent(ParentSession::reportProgress);
	}

	private void retainScope() {
		Scope present = scope();
		if (!present.all()) {
			Set<String> names = this.active.current().services().keySet();
			this.registry.retain((service) -> names.contains(service) || present.localServices().contains(service));
		}
	}

	private Scope scope() {
		this.lock.lock();
		try {
			return this.scope;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Dispatches the messages of children and of the parent.
	 */
	private final class Handler implements ConnectionHandler {

		@Override
		public void received(Connection connection, Object message) {
			ParentSession session = NodeDistribution.this.uplink.session().orElse(null);
			if (session == null || session.connection() != connection) {
				NodeDistribution.this.children.received(connection, message);
				return;
			}
			switch (message) {
				case WholeSlice slice -> NodeDistribution.this.updates.add(session, slice);
				case Delta delta -> NodeDistribution.this.updates.add(session, delta);
				case Advance advance -> NodeDistribution.this.updates.add(session, advance);
				case ParentHeartbeat heartbeat -> {
					session.heartbeat(heartbeat);
					NodeDistribution.this.children.heartbeat();
				}
				case EndpointUpdate update -> endpointsFromParent(update.endpoints());
				case RegistryDigests digests -> compareRegistry(session, digests.digests());
				case SubscribeAgain again -> subscribe(session, true, again.whole());
				case Roots announced -> rootsChanged(announced.addresses());
				case PathUpdate update -> pathChanged(session, update.path());
				case Leaving leaving -> {
					session.parentIsLeaving();
					NodeDistribution.this.uplink.check();
				}
				default ->
					Logger.debug("distribution: Ignored {} from the parent.", message.getClass().getSimpleName());
			}
		}

		@Override
		public Object answer(Connection connection, Object request) {
			return switch (request) {
				case Attach attach -> NodeDistribution.this.children.attach(connection, attach);
				case Report report -> NodeDistribution.this.children.report(connection, report);
				case FloorRequest floorRequest ->
					NodeDistribution.this.floorRequests.request(TreeTimes.CALL_TIMEOUT_MILLIS)
						.map((version) -> new FloorAnswer(true, version))
						.orElse(new FloorAnswer(false, 0));
				default ->
					throw new LavenderroadException("no answer to " + request.getClass().getSimpleName() + " here");
			};
		}

		@Override
		public void closed(Connection connection, String reason) {
			NodeDistribution.this.bytes.closed(connection);
			NodeDistribution.this.children.closed(connection);
			NodeDistribution.this.uplink.check();
		}

		private void rootsChanged(List<String> addresses) {
			NodeDistribution.this.roots = addresses;
			NodeDistribution.this.children.rootsChanged(addresses);
		}

		private void pathChanged(ParentSession session, List<Hop> path) {
			if (path.isEmpty()) {
				return;
			}
			session.pathChanged(path);
			NodeDistribution.this.children.pathChanged(path());
			NodeDistribution.this.uplink.check();
		}

	}

	/**
	 * This node as the parent of its children.
	 */
	private final class NodeParent implements Children.Parent {

		@Override
		public Clock clock() {
			return NodeDistribution.this.clock;
		}

		@Override
		public Hop self() {
			return NodeDistribution.this.self;
		}

		@Override
		public ActiveConfiguration active() {
			return NodeDistribution.this.active;
		}

		@Override
		public EndpointRegistry registry() {
			return NodeDistribution.this.registry;
		}

		@Override
		public List<Hop> path() {
			return NodeDistribution.this.path();
		}

		@Override
		public long rootAgeMillis() {
			return NodeDistribution.this.rootAgeMillis();
		}

		@Override
		public List<String> roots() {
			return NodeDistribution.this.roots;
		}

		@Override
		public boolean prepareToRelay() {
			return widenScope();
		}

		@Override
		public void endpointsFromSubtree(List<Endpoint> endpoints, String senderId) {
			NodeDistribution.this.endpointsFromSubtree(endpoints, senderId);
		}

		@Override
		public void evidenceFromSubtree(Evidence observed) {
			NodeDistribution.this.evidence.add(observed);
		}

		@Override
		public void progressFromSubtree() {
			reportProgress();
		}

	}

	/**
	 * This node as the receiver of configuration updates.
	 */
	private final class NodeUpdates implements SliceUpdates.Owner {

		@Override
		public boolean isCurrent(ParentSession session) {
			return NodeDistribution.this.uplink.session().orElse(null) == session;
		}

		@Override
		public void subscribe(ParentSession session, boolean namesGiven, boolean whole) {
			NodeDistribution.this.subscribe(session, namesGiven, whole);
		}

		@Override
		public void activated(long version) {
			Logger.info("distribution: Node {} activated version {} with {} routes, {}.",
					NodeDistribution.this.self.id(), version,
					NodeDistribution.this.active.current().routes().all().size(), freshness());
			retainScope();
			reportProgress();
			NodeDistribution.this.children.wake();
			changed();
		}

	}

	/**
	 * This node as the child of its parent.
	 */
	private final class NodeUplink implements Uplink.Owner {

		@Override
		public ConnectionHandler handler() {
			return NodeDistribution.this.outgoing;
		}

		@Override
		public void opened(Connection connection) {
			NodeDistribution.this.bytes.opened(connection);
		}

		@Override
		public void parentFound(long millis) {
			NodeDistribution.this.metrics.parentFound(millis);
		}

		@Override
		public void attached(ParentSession session) {
			NodeDistribution.this.lastSession = session;
			NodeDistribution.this.registry.clearUnconfirmed();
			NodeDistribution.this.attaches.incrementAndGet();
			NodeDistribution.this.evidence.receiverChanged();
			subscribe(session, false, false);
			announce(localEndpoint().state());
			session.start(NodeDistribution.this::heartbeat);
			NodeDistribution.this.children.pathChanged(path());
			NodeDistribution.this.children.heartbeat();
			changed();
		}

		@Override
		public void replaced(ParentSession session) {
			Thread.ofVirtual().start(() -> NodeDistribution.this.evidence.betweenReports(() -> {
				session.connection().send(new Leaving("another parent accepted"));
				session.connection().close("another parent accepted");
			}));
		}

	}

}
