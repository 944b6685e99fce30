package io.lavenderroad.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
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
import io.lavenderroad.node.NodeMessages;
import io.lavenderroad.node.NodeProxy;
import io.lavenderroad.policy.calls.BalancingPolicy;
import io.lavenderroad.policy.calls.TwoChoices;

/**
 * A node: distribution and proxy over one frames port.
 */
final class NodeRole implements RunningRole {

	private static final long EVIDENCE_MILLIS = 1_000;

	/**
	 * Longest wait for requests in flight at shutdown. Routes may not have longer
	 * time-outs.
	 */
	private static final long DRAIN_MILLIS = 30_000;

	private final NodeDistribution distribution;

	private final NodeProxy proxy;

	private final FrameServer server;

	private final PeriodicTask evidenceTask;

	private NodeRole(DaemonSettings settings, Kernel kernel) throws IOException {
		Clock clock = Clock.system();
		RandomGenerator random = new Random();
		WireOptions options = WireSetup.options(settings, clock, DistributionMessages.types(), NodeMessages.types());
		Endpoint self = endpoint(settings, options.hello().incarnation());
		this.distribution = NodeDistribution.builder()
			.options(options)
			.clock(clock)
			.random(random)
			.seeds(settings.seeds().stream().map(NodeRole::text).toList())
			.endpoint(self)
			.dataFolder(settings.dataFolder().orElse(null))
			.build();
		this.proxy = NodeProxy.builder()
			.view(this.distribution)
			.self(self)
			.callerAddress(settings.socketAddress(settings.ports().http()))
			.wireOptions(options)
			.backendAddress(backendAddress(settings))
			.adminAddress(settings.socketAddress(settings.ports().admin()))
			.adminPage("/status", AdminServer.page(this::status))
			.healthPath(settings.backend().orElseThrow().healthPath())
			.loadPath(settings.backend().orElseThrow().loadPath())
			.drainTimeoutMillis(DRAIN_MILLIS)
			.clock(clock)
			.random(random)
			.announcer(this.distribution::announce)
			.balancing(kernel.find(BalancingPolicy.POINT, TwoChoices.NAME).orElseThrow())
			.withdrawal(new MoveWatch())
			.start();
		DispatchingHandler handler = DispatchingHandler.builder()
			.add(DistributionMessages.types(), this.distribution.handler())
			.add(NodeMessages.types(), this.proxy.handler())
			.build();
		this.server = FrameServer.start(settings.socketAddress(settings.ports().framesBind()), options, handler);
		this.distribution.start();
		this.evidenceTask = PeriodicTask.start("evidence", EVIDENCE_MILLIS, this::reportEvidence);
	}

	static RunningRole start(DaemonSettings settings, Kernel kernel) throws IOException {
		return new NodeRole(settings, kernel);
	}

	@Override
	public void shutDown() {
		this.proxy.drain();
		this.evidenceTask.close();
		reportEvidence();
		// The proxy still answers other nodes through the frame server while it drains.
		this.proxy.close();
		this.distribution.close();
		this.server.close();
	}

	private void reportEvidence() {
		Evidence evidence = this.proxy.takeEvidence();
		Map<ObservationKey, Observations> moving = new TreeMap<>();
		this.distribution.configuration().ifPresent((configuration) -> evidence.observations().forEach((key, value) -> {
			// Only moves need evidence; leaving the rest out saves control traffic.
			if (hasMove(configuration, key.service())) {
				moving.put(key, value);
			}
		}));
		if (!moving.isEmpty()) {
			this.distribution.report(Evidence.of(moving));
		}
	}

	private static boolean hasMove(MeshConfiguration configuration, String service) {
		return configuration.service(service).flatMap(ServiceConfiguration::move).isPresent();
	}

	private Map<String, Object> status() {
		return status(this.distribution.status(), this.distribution);
	}

	/**
	 * Describes the state of a node. The configuration is read once: a page put together
	 * from several reads can show the version of one configuration with the digest of the
	 * next.
	 * @param distribution state of the distribution
	 * @param view gives the configuration in force
	 * @return the page
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
		return new Endpoint(settings.id(), incarnation, 0, EndpointState.COLD, backend.service(), backend.version(),
				settings.region(), settings.failureDomain(), settings.frameAddress(), backend.slots(),
				backend.capacity(), "");
	}

	private static String backendAddress(DaemonSettings settings) {
		return text(settings.socketAddress(settings.backend().orElseThrow().httpPort()));
	}

	private static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
