package io.lavenderroad.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricSet;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.WireException;
import io.lavenderroad.core.wire.WireOptions;
import io.lavenderroad.model.CallerLimits;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.model.departure.DepartureAnswer;
import io.lavenderroad.model.departure.DepartureRequest;
import io.lavenderroad.node.http.BackendExchange;
import io.lavenderroad.node.http.BackendPool;
import io.lavenderroad.node.http.CallerMemory;
import io.lavenderroad.node.http.CallerRefusals;
import io.lavenderroad.node.http.HttpListener;
import io.lavenderroad.node.http.KeepAlive;
import io.lavenderroad.policy.calls.BalancingPolicy;
import io.lavenderroad.policy.calls.RetryBudget;
import io.lavenderroad.policy.calls.TwoChoices;
import io.lavenderroad.policy.quota.QuotaGrant;
import io.lavenderroad.policy.quota.QuotaLeases;
import io.lavenderroad.policy.quota.QuotaRequest;
import org.tinylog.Logger;

/**
 * The sidecar proxy of one backend server: accepts calls over HTTP, sends them to the
 * node of a suitable backend server, and admits calls from other nodes to the local
 * backend server.
 */
public final class NodeProxy implements AutoCloseable {

	private static final long TICK_MILLIS = 1_000;

	private static final long POLL_MILLIS = 5;

	/**
	 * Maximum size of an answer that is kept for an idempotency key.
	 */
	private static final int MAXIMUM_KEPT_ANSWER_BYTES = 16 * 1024;

	private final Clock clock;

	private final MeshView view;

	private final CallerApi callerApi;

	private final HttpServer adminServer;

	private final LocalBackend localBackend;

	private final KeyLedger keys;

	private final NodeMetrics metrics = new NodeMetrics();

	private final AdmissionStatistics admissionStatistics = new AdmissionStatistics(this.metrics);

	private final CalledServices calledServices;

	private final long drainTimeoutMillis;

	private final HttpListener callerListener;

	private final BackendPool pool;

	private final ScheduledExecutorService timer;

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final Admission admission;

	private final BackendClient backend;

	private final CallServer callServer;

	private final CallRouter router;

	private final EndpointDirectory directory;

	private final PeerConnections connections;

	private final CallDialect dialect;

	private final QuotaClient quotas;

	private final Optional<DepartureKeeper> departures;

	private final EvidenceRecorder evidence = new EvidenceRecorder();

	private final WithdrawnVersions withdrawn;

	private final ConnectionHandler handler = new NodeHandler();

	private final AtomicBoolean closed = new AtomicBoolean();

	private volatile StopSchedule stopSchedule = StopSchedule.NEVER;

	/**
	 * Guards the evidence that has been recorded but not yet returned or evaluated.
	 */
	private final ReentrantLock evidenceLock = new ReentrantLock();

	private Evidence pendingEvidence = Evidence.NONE;

	private Evidence unevaluatedEvidence = Evidence.NONE;

	private NodeProxy(Builder builder) throws IOException {
		this.clock = builder.clock;
		this.view = Objects.requireNonNull(builder.view, "view");
		this.drainTimeoutMillis = builder.drainTimeoutMillis;
		Endpoint self = Objects.requireNonNull(builder.self, "self");
		this.admission = new Admission(this.clock, builder.random, self.slots(), builder.limited);
		this.dialect = builder.dialect;
		this.timer = newTimer();
		this.pool = new BackendPool(parse(Objects.requireNonNull(builder.backendAddress, "backendAddress")),
				this.clock);
		CallerMemory callerMemory = callerMemory(builder.maximumAnswerBytes);
		BackendExchange exchange = new BackendExchange(this.pool, callerMemory, this.timer, builder.maximumAnswerBytes,
				KeepAlive::millis);
		this.backend = new BackendClient(exchange, this.dialect, builder.backendAddress,
				() -> this.view.configuration().filter((active) -> !active.teams().isEmpty()).isPresent());
		this.localBackend = localBackend(builder, self);
		this.directory = new EndpointDirectory(this.view, this.clock);
		WireOptions wireOptions = Objects.requireNonNull(builder.wireOptions, "wireOptions");
		long connectWaitMillis = Math.min(builder.connectWaitMillis, wireOptions.connectTimeoutMillis());
		this.connections = new PeerConnections(wireOptions, connectWaitMillis, this.handler);
		this.quotas = new QuotaClient(this.clock, new QuotaLeases(self.nodeId(), wireOptions.hello().incarnation()),
				new LeaderSearch(this.clock, builder.controlMembers, this.connections.quotaTransport()));
		this.quotas.register(this.metrics);
		this.departures = Optional.ofNullable(builder.registration)
			.map((registration) -> departureKeeper(builder, registration, self.nodeId()));
		KeyStore store = new KeyStore(builder.keyMemoryBytes, MAXIMUM_KEPT_ANSWER_BYTES);
		this.keys = new KeyLedger(this.clock, this.view, self, store, this.connections.keyTransport(),
				KeyLedger.COPIES);
		this.calledServices = new CalledServices(this.clock);
		StartControl startControl = new StartControl(this.clock, builder.random, this.view, self, this.localBackend,
				this.admission::refuseWaiting, builder.limited);
		if (builder.registration != null) {
			builder.registration.onSlotsAnnounced((slots) -> {
				this.admission.slots(slots);
				startControl.setSlots(slots);
			});
		}
		this.localBackend.onSetback(startControl::restrict);
		ReportedLoad reportedLoad = new ReportedLoad();
		this.callServer = new CallServer(this.clock, this.view, self, this.admission, this.backend, this.localBackend,
				startControl, reportedLoad, this.keys, this.admissionStatistics, this.calledServices);
		this.withdrawn = new WithdrawnVersions(builder.withdrawal);
		NodeComponents components = new NodeComponents(this.clock, builder.random, self, this.directory,
				this.connections, this.evidence, this.withdrawn, this.calledServices, new RequestLog(this.clock));
		this.router = new CallRouter(components, builder.balancing, this.callServer, builder.retryBurst);
		QuotaGate quotaGate = (builder.quotaGate != null) ? builder.quotaGate : this.quotas;
		ConfigurationAwaiter awaiter = new ConfigurationAwaiter(this.clock, this.view);
		this.callerApi = new CallerApi(components, awaiter, this.dialect,
				new RequestEvaluation(components, awaiter, this.dialect, this.router, quotaGate, this.metrics));
		this.callerListener = HttpListener.builder()
			.clock(this.clock)
			.limits(() -> this.view.configuration().map(MeshConfiguration::limits).orElse(CallerLimits.DEFAULT))
			.handler(this.callerApi)
			.memory(callerMemory)
			.bind(Objects.requireNonNull(builder.callerAddress, "callerAddress"));
		this.adminServer = (builder.adminAddress != null) ? adminServer(builder.adminAddress, builder.adminPages)
				: null;
		builder.metricSets.forEach(this.metrics::include);
		this.metrics.gauge("load", this.admission::load);
		this.metrics.gauge("answers_without_load", reportedLoad::ignored);
		this.metrics.gauge("pace_percent", startControl::pacePercent);
		this.metrics.gauge("pace_restrictions", startControl::restrictions);
		this.metrics.gauge("pace_refusals", startControl::paceRefusals);
		this.metrics.gauge("cold_refusals", startControl::coldRefusals);
		this.metrics.gauge("evacuation_refusals", startControl::evacuationRefusals);
		this.metrics.gauge("evacuated", () -> startControl.isEvacuated() ? 1 : 0);
		this.metrics.gauge("caller_connections_reading", this.callerListener::readingConnections);
		this.metrics.gauge("caller_connections_answering", this.callerListener::answeringConnections);
		this.metrics.gauge("caller_body_bytes", this.callerListener::heldBytes);
		for (CallerRefusals.Reason reason : CallerRefusals.Reason.values()) {
			this.metrics.gauge("caller_refusals_total{reason=\"" + reason.label() + "\"}",
					() -> this.callerListener.refusals().count(reason));
		}
		Logger.info("node: Callers may hold {} bytes and {} connections.", callerMemory.maximumBytes(),
				this.callerListener.maximumConnections());
		this.metrics.gauge("key_records", store::size);
		this.metrics.gauge("key_bytes", store::bytes);
		this.metrics.gauge("heap_bytes", () -> Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
	}

	/**
	 * Creates a builder.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the handler for the messages of {@link NodeMessages} on connections that
	 * other nodes open.
	 * @return the handler
	 */
	public ConnectionHandler handler() {
		return this.handler;
	}

	/**
	 * Returns the address at which callers send HTTP requests.
	 * @return the bound address
	 */
	public InetSocketAddress callerAddress() {
		return this.callerListener.address();
	}

	/**
	 * Returns the address of the administration pages.
	 * @return the bound address, or empty if there are none
	 */
	public Optional<InetSocketAddress> adminAddress() {
		return Optional.ofNullable(this.adminServer).map(HttpServer::getAddress);
	}

	/**
	 * Returns the state of the backend server that was announced last.
	 * @return the state
	 */
	public EndpointState state() {
		return this.localBackend.state();
	}

	/**
	 * Returns the observations since the last call. Each observation is returned exactly
	 * once.
	 * @return the evidence of this node
	 */
	public Evidence takeEvidence() {
		this.evidenceLock.lock();
		try {
			collectEvidence();
			Evidence taken = this.pendingEvidence;
			this.pendingEvidence = Evidence.NONE;
			return taken;
		}
		finally {
			this.evidenceLock.unlock();
		}
	}

	/**
	 * Starts draining: announces {@code DRAINING} and from now on refuses new calls to
	 * the backend server as "not run". Calls in flight continue.
	 */
	public void drain() {
		if (this.admission.drain()) {
			Logger.info("node: Draining, {} calls in flight.", this.admission.load());
			this.keys.leave();
			this.localBackend.drain();
		}
	}

	/**
	 * Begins a stop and asks callers to switch to another node: each connection is closed
	 * after its next answer. New requests are still served, at first all of them, then
	 * those whose deadline is before the end of the process.
	 * @param acceptAllMillis time from now for which all requests are accepted
	 * @param endMillis time from now after which {@link #close()} no longer waits for
	 * calls in flight
	 */
	public void leave(long acceptAllMillis, long endMillis) {
		long now = this.clock.millis();
		this.stopSchedule = new StopSchedule(now + acceptAllMillis, now + endMillis);
		this.callerApi.stopAt(this.stopSchedule);
		this.callerListener.leave();
	}

	/**
	 * Stops gracefully: drains, waits for the calls in flight at the backend server,
	 * transfers the idempotency keys to other nodes, then stops accepting callers and
	 * waits for their calls. All waits together end at the end of the process that was
	 * stated when the stop began, otherwise after the drain timeout. The frame server
	 * must be closed after this, because it carries the answers.
	 */
	@Override
	public void close() {
		if (this.closed.get()) {
			return;
		}
		drain();
		long end = (this.stopSchedule != StopSchedule.NEVER) ? this.stopSchedule.endMillis()
				: this.clock.millis() + this.drainTimeoutMillis;
		this.admission.awaitIdle(Math.max(0, end - this.clock.millis()));
		boolean served = awaitZero(this.callServer::inFlight, end);
		if (this.dialect.supportsIdempotencyKeys() && !this.keys.transferRecords()) {
			Logger.warn("node: Could not transfer all idempotency keys to other nodes.");
		}
		// Requests that still run at the backend server make their calls through this
		// API, so it stops last.
		this.callerApi.stop();
		if (!awaitZero(this.callerListener::unansweredRequests, end) || !served) {
			Logger.warn("node: Stopping with calls still in flight; {} answers to callers are not written.",
					this.callerListener.unansweredRequests());
		}
		stop();
	}

	/**
	 * Stops immediately. Calls in flight are aborted, as if the process had crashed.
	 */
	public void stop() {
		if (!this.closed.compareAndSet(false, true)) {
			return;
		}
		this.admission.drain();
		this.callerListener.close();
		if (this.adminServer != null) {
			this.adminServer.stop(0);
		}
		this.quotas.close();
		this.departures.ifPresent(DepartureKeeper::close);
		this.connections.close();
		this.pool.close();
		this.timer.shutdownNow();
		this.executor.shutdownNow();
	}

	private void start() {
		this.callerListener.start();
		if (this.adminServer != null) {
			this.adminServer.start();
		}
		this.quotas.start();
		this.departures.ifPresent(DepartureKeeper::start);
		Thread.ofVirtual().name("backend monitor").start(() -> runPeriodically(this::pollBackend));
		if (this.dialect.supportsIdempotencyKeys()) {
			Thread.ofVirtual().name("key ledger").start(() -> runPeriodically(this.keys::maintain));
		}
		Thread.ofVirtual().name("node tick").start(() -> runPeriodically(this::tick));
	}

	private void pollBackend() {
		this.localBackend.poll();
		this.pool.closeOld();
	}

	private DepartureKeeper departureKeeper(Builder builder, BackendRegistration registration, String nodeId) {
		DepartureStore store = new ControlGroupDepartures(nodeId, builder.controlMembers, builder.random.nextInt(),
				this.connections.departureTransport());
		DepartureKeeper keeper = new DepartureKeeper(this.clock, builder.random, store, registration::departuresKnown);
		keeper.register(this.metrics);
		registration.keepDepartures(keeper);
		return keeper;
	}

	private LocalBackend localBackend(Builder builder, Endpoint self) {
		if (builder.registration == null) {
			return new BackendMonitor(this.clock, this.backend, builder.healthPath, builder.loadPath, self,
					builder.announcer);
		}
		builder.registration.onLeaving(this.admission::refuseWaiting);
		return builder.registration;
	}

	/**
	 * Creates the budget for callers and checks that an answer of the largest size fits,
	 * which would otherwise fail in calm, too.
	 * @param maximumAnswerBytes size of the largest answer
	 * @return the budget
	 * @throws IOException if the heap is too small
	 */
	private static CallerMemory callerMemory(int maximumAnswerBytes) throws IOException {
		CallerMemory memory = CallerMemory.ofHeap();
		if (memory.maximumBytes() < maximumAnswerBytes) {
			throw new IOException("the heap is too small: callers may hold " + memory.maximumBytes()
					+ " bytes of it, and an answer has up to " + maximumAnswerBytes);
		}
		return memory;
	}

	private static ScheduledExecutorService newTimer() {
		ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1,
				Thread.ofPlatform().name("deadlines").daemon().factory());
		timer.setRemoveOnCancelPolicy(true);
		return timer;
	}

	private static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(InetAddress.ofLiteral(address.substring(0, colon)),
				Integer.parseInt(address.substring(colon + 1)));
	}

	private HttpServer adminServer(InetSocketAddress address, Map<String, HttpHandler> pages) throws IOException {
		HttpServer server = HttpServer.create(address, 0);
		server.setExecutor(this.executor);
		pages.forEach(server::createContext);
		server.createContext("/", new AdminApi(this.clock, this.view, this.metrics, this.localBackend, this.directory,
				() -> Thread.ofVirtual().start(this::drain)));
		return server;
	}

	private boolean awaitZero(IntSupplier count, long endMillis) {
		while (count.getAsInt() > 0 && this.clock.millis() < endMillis) {
			try {
				Thread.sleep(POLL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
		}
		return count.getAsInt() == 0;
	}

	private void runPeriodically(Runnable work) {
		while (!this.closed.get()) {
			try {
				Thread.sleep(TICK_MILLIS);
				work.run();
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (RuntimeException ex) {
				Logger.error(ex, "node: Periodic task failed.");
			}
		}
	}

	private void tick() {
		this.connections.closeIdle();
		this.directory.prune();
		this.admissionStatistics.report();
		this.calledServices.report();
		Evidence recent;
		this.evidenceLock.lock();
		try {
			collectEvidence();
			recent = this.unevaluatedEvidence;
			this.unevaluatedEvidence = Evidence.NONE;
		}
		finally {
			this.evidenceLock.unlock();
		}
		this.view.configuration().ifPresent((configuration) -> {
			this.router.prune(configuration.services().keySet());
			this.withdrawn.evaluate(configuration, recent, this.clock.millis());
		});
	}

	private void collectEvidence() {
		Evidence recorded = this.evidence.take();
		if (!recorded.isEmpty()) {
			this.pendingEvidence = this.pendingEvidence.plus(recorded);
			this.unevaluatedEvidence = this.unevaluatedEvidence.plus(recorded);
		}
	}

	/**
	 * Builds {@link NodeProxy}.
	 */
	public static final class Builder {

		private Clock clock = Clock.system();

		private RandomGenerator random = new ThreadRandom();

		private MeshView view;

		private Endpoint self;

		private InetSocketAddress callerAddress;

		private WireOptions wireOptions;

		private String backendAddress;

		private int maximumAnswerBytes = 4 * 1024 * 1024;

		private Consumer<EndpointState> announcer = (state) -> {
		};

		private BalancingPolicy balancing = new TwoChoices();

		private LocalWithdrawal withdrawal = LocalWithdrawal.never();

		private boolean limited = true;

		private CallDialect dialect = new MeshDialect();

		private BackendRegistration registration;

		private Supplier<List<String>> controlMembers = List::of;

		private int retryBurst = RetryBudget.BURST;

		private long connectWaitMillis = Long.MAX_VALUE;

		private final Map<String, HttpHandler> adminPages = new TreeMap<>();

		private final List<MetricSet> metricSets = new ArrayList<>();

		private InetSocketAddress adminAddress;

		private QuotaGate quotaGate;

		private String healthPath = "";

		private String loadPath = "";

		private long keyMemoryBytes = 4L * 1024 * 1024;

		private long drainTimeoutMillis = 30_000;

		private Builder() {
		}

		/**
		 * Sets the view of the mesh: configuration and endpoints.
		 * @param view the view
		 * @return this builder
		 */
		public Builder view(MeshView view) {
			this.view = view;
			return this;
		}

		/**
		 * Sets the endpoint that the node announces for the local backend server.
		 * @param self the endpoint
		 * @return this builder
		 */
		public Builder self(Endpoint self) {
			this.self = self;
			return this;
		}

		/**
		 * Sets the address at which callers send HTTP requests.
		 * @param address the address; port 0 selects a free one
		 * @return this builder
		 */
		public Builder callerAddress(InetSocketAddress address) {
			this.callerAddress = address;
			return this;
		}

		/**
		 * Sets identity and limits of connections to other nodes.
		 * @param options the options; their catalog holds {@link NodeMessages#types()}
		 * @return this builder
		 */
		public Builder wireOptions(WireOptions options) {
			this.wireOptions = options;
			return this;
		}

		/**
		 * Sets the HTTP address of the backend server.
		 * @param address {@code ip:port}
		 * @return this builder
		 */
		public Builder backendAddress(String address) {
			this.backendAddress = address;
			return this;
		}

		/**
		 * Sets the maximum size of an answer body of the backend server. Calls with
		 * larger answers end as "may have run".
		 * @param bytes the limit
		 * @return this builder
		 */
		public Builder maximumAnswerBytes(int bytes) {
			this.maximumAnswerBytes = bytes;
			return this;
		}

		/**
		 * Sets the clock.
		 * @param clock the clock
		 * @return this builder
		 */
		public Builder clock(Clock clock) {
			this.clock = clock;
			return this;
		}

		/**
		 * Sets the source of randomness.
		 * @param random a generator that is safe for use by many threads
		 * @return this builder
		 */
		public Builder random(RandomGenerator random) {
			this.random = random;
			return this;
		}

		/**
		 * Sets the receiver of state changes of the backend server, which announces them
		 * to the mesh.
		 * @param announcer called with each new state; must not block
		 * @return this builder
		 */
		public Builder announcer(Consumer<EndpointState> announcer) {
			this.announcer = announcer;
			return this;
		}

		/**
		 * Sets the balancing policy.
		 * @param balancing the policy
		 * @return this builder
		 */
		public Builder balancing(BalancingPolicy balancing) {
			this.balancing = balancing;
			return this;
		}

		/**
		 * Sets the function that decides on local withdrawals.
		 * @param withdrawal the function
		 * @return this builder
		 */
		public Builder withdrawal(LocalWithdrawal withdrawal) {
			this.withdrawal = withdrawal;
			return this;
		}

		/**
		 * Sets whether slots and queue are limited. Without limits every call runs
		 * immediately, which is the baseline in comparisons.
		 * @param limited false for the baseline
		 * @return this builder
		 */
		public Builder limited(boolean limited) {
			this.limited = limited;
			return this;
		}

		/**
		 * Sets the address of the administration pages. They are not served without it.
		 * @param address the address; port 0 selects a free one
		 * @return this builder
		 */
		public Builder adminAddress(InetSocketAddress address) {
			this.adminAddress = address;
			return this;
		}

		/**
		 * Sets the HTTP dialect of callers and the backend server.
		 * @param dialect the dialect
		 * @return this builder
		 */
		public Builder dialect(CallDialect dialect) {
			this.dialect = dialect;
			return this;
		}

		/**
		 * Lets the backend server register itself by announcements; otherwise the node
		 * polls its pages.
		 * @param registration receives its announcements, or null to poll its pages
		 * @return this builder
		 */
		public Builder registration(BackendRegistration registration) {
			this.registration = registration;
			return this;
		}

		/**
		 * Sets how long a call waits for a new connection to another node. The default is
		 * the connect timeout of the wire options.
		 * @param millis the wait
		 * @return this builder
		 */
		public Builder connectWaitMillis(long millis) {
			this.connectWaitMillis = millis;
			return this;
		}

		/**
		 * Sets the source of the addresses of the control members, which grant quotas and
		 * keep departures. Without it, teams with a quota are refused, and a backend
		 * server that registers itself is not used.
		 * @param addresses supplies {@code ip:port} of each known member
		 * @return this builder
		 */
		public Builder controlMembers(Supplier<List<String>> addresses) {
			this.controlMembers = addresses;
			return this;
		}

		/**
		 * Sets the burst of the retry budget: how many retries to a service this node may
		 * send in a burst, beyond the configured share of the calls.
		 * @param retries maximum number of retries
		 * @return this builder
		 */
		public Builder retryBurst(int retries) {
			this.retryBurst = retries;
			return this;
		}

		/**
		 * Adds the metrics of another component of the process to the metrics page.
		 * @param added metrics by name
		 * @return this builder
		 */
		public Builder metrics(MetricSet added) {
			this.metricSets.add(added);
			return this;
		}

		/**
		 * Adds an administration page.
		 * @param path path of the page
		 * @param page handler of its requests
		 * @return this builder
		 */
		public Builder adminPage(String path, HttpHandler page) {
			this.adminPages.put(path, page);
			return this;
		}

		/**
		 * Sets the check of the quotas of the teams. Without it, the leader of the
		 * control group grants them.
		 * @param gate the check
		 * @return this builder
		 */
		public Builder quotaGate(QuotaGate gate) {
			this.quotaGate = gate;
			return this;
		}

		/**
		 * Sets the page on which the backend server reports its health.
		 * @param path path, or an empty string if there is none
		 * @return this builder
		 */
		public Builder healthPath(String path) {
			this.healthPath = path;
			return this;
		}

		/**
		 * Sets the page on which the backend server reports its load, a JSON object with
		 * the number {@code running}.
		 * @param path path, or an empty string if there is none
		 * @return this builder
		 */
		public Builder loadPath(String path) {
			this.loadPath = path;
			return this;
		}

		/**
		 * Sets the maximum memory for records of idempotency keys.
		 * @param bytes the maximum
		 * @return this builder
		 */
		public Builder keyMemoryBytes(long bytes) {
			this.keyMemoryBytes = bytes;
			return this;
		}

		/**
		 * Sets the maximum time for which a graceful stop waits for calls in flight.
		 * @param millis the timeout
		 * @return this builder
		 */
		public Builder drainTimeoutMillis(long millis) {
			this.drainTimeoutMillis = millis;
			return this;
		}

		/**
		 * Creates and starts the node.
		 * @return the running node
		 * @throws IOException if an address cannot be bound
		 */
		public NodeProxy start() throws IOException {
			HttpProperties.set();
			NodeProxy proxy = new NodeProxy(this);
			proxy.start();
			return proxy;
		}

	}

	private final class NodeHandler implements ConnectionHandler {

		@Override
		public void received(Connection connection, Object message) {
			if (message instanceof CancelCall cancel) {
				NodeProxy.this.callServer.cancel(connection, cancel.callId());
			}
		}

		@Override
		public Object answer(Connection connection, Object request) {
			if (request instanceof CallRequest call) {
				return NodeProxy.this.callServer.serve(connection, call);
			}
			if (request instanceof QuotaRequest) {
				// A seed may be a node.
				return QuotaGrant.notLeader(Optional.empty());
			}
			if (request instanceof DepartureRequest) {
				return DepartureAnswer.UNCONFIRMED;
			}
			return NodeProxy.this.keys.answer(request)
				.orElseThrow(() -> new WireException(
						"request " + request.getClass().getSimpleName() + " is not for a node"));
		}

		@Override
		public void closed(Connection connection, String reason) {
			NodeProxy.this.callServer.closed(connection);
		}

	}

}
