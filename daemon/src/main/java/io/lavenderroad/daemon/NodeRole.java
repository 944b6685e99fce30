package io.lavenderroad.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.kernel.Kernel;
import io.lavenderroad.core.wire.DispatchingHandler;
import io.lavenderroad.core.wire.FrameServer;
import io.lavenderroad.core.wire.WireOptions;
import io.lavenderroad.daemon.DaemonSettings.BackendSettings;
import io.lavenderroad.distribution.DistributionMessages;
import io.lavenderroad.distribution.NodeDistribution;
import io.lavenderroad.distribution.NodeStatus;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Observations;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.node.BackendRegistration;
import io.lavenderroad.node.NodeMessages;
import io.lavenderroad.node.NodeProxy;
import io.lavenderroad.policy.calls.BalancingPolicy;
import io.lavenderroad.policy.calls.ShortestTime;

/**
 * A node: distribution and proxy on one frames port.
 */
final class NodeRole implements RunningRole, NodeShutdown.Steps {

	private static final long EVIDENCE_INTERVAL_MILLIS = 250;

	/**
	 * Maximum time that a call waits for a connection to another node, many times the
	 * latency between failure domains. A call to a failed node then has time left for
	 * another one.
	 */
	private static final long CONNECT_WAIT_MILLIS = 150;

	/**
	 * Announcements that may be missed before a backend server is considered silent. They
	 * may arrive seconds late.
	 */
	private static final int MAXIMUM_MISSED_ANNOUNCEMENTS = 4;

	private final Clock clock = Clock.system();

	private final DaemonSettings settings;

	private final NodeDistribution distribution;

	private final NodeProxy proxy;

	private final FrameServer server;

	private final PeriodicTask evidenceTask;

	private final List<PageServer> pageServers = new ArrayList<>();

	private volatile boolean shuttingDown;

	private NodeRole(DaemonSettings settings, Kernel kernel) throws IOException {
		this.settings = settings;
		RandomGenerator random = new Random();
		WireOptions options = WireOptionsFactory.create(settings, this.clock, DistributionMessages.types(),
				NodeMessages.types());
		Endpoint self = endpoint(settings, options.hello().incarnation());
		this.distribution = NodeDistribution.builder()
			.options(options)
			.clock(this.clock)
			.random(random)
			.seeds(settings.seeds().stream().map(NodeRole::format).toList())
			.endpoint(self)
			.dataFolder(settings.dataFolder().orElse(null))
			.build();
		BackendSettings backend = settings.backend().orElseThrow();
		Optional<BackendRegistration> registration = backend.announces() ? Optional.of(registration(backend))
				: Optional.empty();
		NodeProxy.Builder builder = NodeProxy.builder()
			.view(this.distribution)
			.self(self)
			.callerAddress(settings.httpAddress())
			.wireOptions(options)
			.backendAddress(format(backend.address()))
			.adminAddress(settings.socketAddress(settings.ports().admin()))
			.adminPage("/status", AdminServer.statusPage(this::status))
			.metrics(this.distribution.metrics())
			.healthPath(backend.healthPath())
			.loadPath(backend.loadPath())
			.registration(registration.orElse(null))
			.controlMembers(this.distribution::controlMembers)
			.retryBurst(settings.calls().retryBurst())
			.connectWaitMillis(CONNECT_WAIT_MILLIS)
			.clock(this.clock)
			.random(random)
			.announcer(this.distribution::announce)
			.balancing(kernel.find(BalancingPolicy.EXTENSION_POINT, ShortestTime.NAME).orElseThrow())
			.withdrawal(new LocalMoveMonitor());
		Optional<NodeInterface> nodeInterface = settings.interfaceName()
			.map((name) -> kernel.find(NodeInterface.EXTENSION_POINT, name)
				.orElseThrow(() -> new LavenderroadException("interface '" + name + "' is not registered")));
		nodeInterface.map(NodeInterface::dialect).ifPresent(builder::dialect);
		this.proxy = builder.start();
		DispatchingHandler handler = DispatchingHandler.builder()
			.add(DistributionMessages.types(), this.distribution.handler())
			.add(NodeMessages.types(), this.proxy.handler())
			.build();
		this.server = FrameServer.start(settings.socketAddress(settings.ports().framesBind()), options, handler);
		this.distribution.start();
		if (nodeInterface.isPresent()) {
			startPageServers(nodeInterface.get(), registration);
		}
		this.evidenceTask = PeriodicTask.start("evidence", EVIDENCE_INTERVAL_MILLIS, this::reportEvidence);
	}

	static RunningRole start(DaemonSettings settings, Kernel kernel) throws IOException {
		return new NodeRole(settings, kernel);
	}

	@Override
	public void shutDown() {
		new NodeShutdown(this, Thread::sleep, this.settings.shutdown().notReadyMillis()).run();
	}

	@Override
	public void reportNotReady() {
		this.shuttingDown = true;
		this.proxy.leave(this.settings.shutdown().acceptAllMillis(), this.settings.shutdown().timeoutMillis());
		this.distribution.detachChildren();
	}

	@Override
	public void refuseNewCalls() {
		this.proxy.drain();
	}

	@Override
	public void drainAndClose() {
		this.evidenceTask.close();
		reportEvidence();
		// The proxy still answers other nodes through the frame server while it drains.
		this.proxy.close();
		this.distribution.close();
		this.server.close();
		this.pageServers.forEach(PageServer::close);
	}

	@Override
	public void reload(DaemonSettings changed) {
		this.distribution.seeds(changed.seeds().stream().map(NodeRole::format).toList());
	}

	private BackendRegistration registration(BackendSettings backend) {
		long announcementTimeoutMillis = (long) MAXIMUM_MISSED_ANNOUNCEMENTS * backend.announceIntervalMillis();
		return new BackendRegistration(this.clock, Clock.timeOfDay(), backend.service(), announcementTimeoutMillis,
				this.distribution::announce);
	}

	private void startPageServers(NodeInterface nodeInterface, Optional<BackendRegistration> registration)
			throws IOException {
		DaemonSettings.Listeners listeners = this.settings.listeners();
		if (listeners.readiness().isPresent()) {
			this.pageServers
				.add(PageServer.start(listeners.readiness().get(), nodeInterface.readinessPages(this::isReady)));
		}
		if (listeners.announcements().isPresent() && registration.isPresent()) {
			this.pageServers.add(PageServer.start(listeners.announcements().get(),
					nodeInterface.announcementPages(registration.get())));
		}
	}

	private boolean isReady() {
		return !this.shuttingDown && this.distribution.configuration().isPresent();
	}

	private void reportEvidence() {
		Evidence evidence = this.proxy.takeEvidence();
		Map<ObservationKey, Observations> moveObservations = new TreeMap<>();
		this.distribution.configuration().ifPresent((configuration) -> evidence.observations().forEach((key, value) -> {
			// Only moves need evidence; omitting the rest reduces the control traffic.
			if (hasMove(configuration, key.service())) {
				moveObservations.put(key, value);
			}
		}));
		if (!moveObservations.isEmpty()) {
			this.distribution.report(Evidence.of(moveObservations));
		}
	}

	private static boolean hasMove(MeshConfiguration configuration, String service) {
		return configuration.service(service).flatMap(ServiceConfiguration::move).isPresent();
	}

	private Map<String, Object> status() {
		return status(this.distribution.status(), this.distribution);
	}

	/**
	 * Returns the fields of the status page. The configuration is read only once: several
	 * reads could combine the version of one configuration with the digest of the next.
	 * @param distribution state of the distribution
	 * @param view supplies the active configuration
	 * @return the fields by name
	 */
	static Map<String, Object> status(NodeStatus distribution, MeshView view) {
		Optional<MeshConfiguration> configuration = view.configuration();
		Map<String, Object> status = new TreeMap<>();
		status.put("distribution", distribution);
		status.put("version", configuration.map(MeshConfiguration::version).orElse(0L));
		status.put("digest", configuration.map(MeshConfiguration::digest).orElse(""));
		status.put("missingResources", configuration.map(MeshConfiguration::missingResources).orElse(List.of()));
		return status;
	}

	private static Endpoint endpoint(DaemonSettings settings, long incarnation) {
		BackendSettings backend = settings.backend().orElseThrow();
		EndpointState state = backend.announces() ? EndpointState.DRAINING : EndpointState.COLD;
		return new Endpoint(settings.id(), incarnation, 0, state, backend.service(), backend.version(),
				settings.region(), settings.failureDomain(), settings.frameAddress(), backend.slots(),
				backend.capacity(), "");
	}

	private static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
