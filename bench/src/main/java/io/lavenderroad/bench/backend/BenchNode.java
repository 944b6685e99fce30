package io.lavenderroad.bench.backend;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.kernel.Kernel;
import io.lavenderroad.core.wire.FrameServer;
import io.lavenderroad.core.wire.Hello;
import io.lavenderroad.core.wire.MessageCatalog;
import io.lavenderroad.core.wire.WireOptions;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.node.NodeMessages;
import io.lavenderroad.node.NodeProxy;
import io.lavenderroad.policy.calls.BalancingPolicy;

/**
 * Runs one node in its own process for benchmarks without control and distribution;
 * options come from the command line. Prints its ports, then reads the endpoints of the
 * other nodes from standard input, one {@code id domain frame-port} per line up to an
 * empty line, and serves until the input ends.
 */
public final class BenchNode {

	private BenchNode() {
	}

	/**
	 * Runs the node.
	 * @param arguments see the annotated fields
	 * @throws Exception if the node cannot start
	 */
	public static void main(String[] arguments) throws Exception {
		Arguments parsed = new Arguments();
		JCommander.newBuilder().addObject(parsed).build().parse(arguments);
		String ip = InetAddress.getLoopbackAddress().getHostAddress();
		Clock clock = Clock.system();
		LocalMesh.DeferredHandler deferredHandler = new LocalMesh.DeferredHandler();
		WireOptions options = WireOptions.builder()
			.hello(new Hello("bench", parsed.id, "node", clock.millis(), ""))
			.catalog(MessageCatalog.builder().addAll(NodeMessages.types()).build())
			.clock(clock)
			.build();
		FrameServer frames = FrameServer.start(new InetSocketAddress(ip, 0), options, deferredHandler);
		FixedView view = new FixedView();
		view.configure(LocalMesh.configuration(1, (service) -> service));
		BalancingPolicy policy = Kernel.load().find(BalancingPolicy.EXTENSION_POINT, parsed.policy).orElseThrow();
		Endpoint self = endpoint(parsed.id, parsed.domain, frames.address().getPort(), parsed.slots);
		NodeProxy proxy = NodeProxy.builder()
			.view(view)
			.self(self)
			.clock(clock)
			.callerAddress(new InetSocketAddress(ip, 0))
			.adminAddress(new InetSocketAddress(ip, 0))
			.wireOptions(options)
			.backendAddress(ip + ":" + parsed.backendPort)
			.balancing(policy)
			.limited(!parsed.unlimited)
			.healthPath("/health")
			.loadPath("/load")
			.start();
		deferredHandler.set(proxy.handler());
		System.out.println(frames.address().getPort() + " " + proxy.callerAddress().getPort() + " "
				+ proxy.adminAddress().orElseThrow().getPort());
		readEndpoints(view, parsed.slots);
		while (System.in.read() >= 0) {
			Thread.onSpinWait();
		}
		proxy.close();
		frames.close();
	}

	private static void readEndpoints(FixedView view, int slots) {
		List<String> lines = new ArrayList<>();
		for (String line = IO.readln(); line != null && !line.isEmpty(); line = IO.readln()) {
			lines.add(line);
		}
		for (String line : lines) {
			String[] parts = line.split(" ");
			view.announce(endpoint(parts[0], parts[1], Integer.parseInt(parts[2]), slots));
		}
	}

	private static Endpoint endpoint(String id, String domain, int framePort, int slots) {
		String version = id.startsWith("entry") ? "none" : "v1";
		return new Endpoint(id, 1, 1, EndpointState.READY, LocalMesh.SERVICE, version, "gauteng", domain,
				InetAddress.getLoopbackAddress().getHostAddress() + ":" + framePort, slots, 100, "");
	}

	private static final class Arguments {

		@Parameter(names = "--id", required = true, description = "Id of the node.")
		private String id;

		@Parameter(names = "--domain", description = "Failure domain.")
		private String domain = "soweto";

		@Parameter(names = "--backend-port", required = true, description = "Port of the backend server.")
		private int backendPort;

		@Parameter(names = "--slots", description = "Slots of the backend server.")
		private int slots = 12;

		@Parameter(names = "--policy", description = "Name of the balancing policy.")
		private String policy = "two-choices";

		@Parameter(names = "--unlimited", description = "Admits every call at once.")
		private boolean unlimited;

	}

}
