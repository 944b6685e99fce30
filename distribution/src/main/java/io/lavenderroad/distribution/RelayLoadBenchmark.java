package io.lavenderroad.distribution;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

import io.lavenderroad.distribution.LocalMesh.Await;
import io.lavenderroad.distribution.LocalMesh.Node;
import io.lavenderroad.distribution.LocalMesh.Root;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Observations;

/**
 * Measures the load of two relays with 16 children each in a mesh of 1,000 services and
 * 7,800 endpoints. The endpoints of the nodes that do not run are generated at the root.
 */
final class RelayLoadBenchmark {

	private static final int NODES = 34;

	private static final int SERVICES = 1_000;

	private static final int ENDPOINTS = 7_800;

	private static final int EVENTS = 200;

	private static final long EVENT_INTERVAL_MILLIS = 50;

	private static final long TIMEOUT_MILLIS = 60_000;

	private final Random random = new Random(34);

	private final LocalMesh mesh = new LocalMesh().withRelays();

	private Root root;

	private MeshConfiguration configuration;

	private RelayLoadBenchmark() {
	}

	static void run() {
		RelayLoadBenchmark benchmark = new RelayLoadBenchmark();
		try {
			benchmark.measure();
		}
		finally {
			benchmark.mesh.close();
		}
	}

	private void measure() {
		this.root = this.mesh.startRoots(1, () -> Optional.of(1L)).getFirst();
		this.configuration = ConvergenceBenchmark.services(SERVICES, this.random);
		this.root.distribution().publish(this.configuration);
		List<Endpoint> remoteEndpoints = new ArrayList<>();
		for (int index = 0; index < ENDPOINTS - NODES; index++) {
			remoteEndpoints.add(remoteEndpoint(index));
		}
		this.root.distribution().merge(remoteEndpoints, null, null);
		long heapBefore = heapBytes();
		for (int index = 0; index < NODES; index++) {
			this.mesh.node("node-" + index, "domain", "service-" + index).start();
		}
		await(() -> this.mesh.nodes().stream().allMatch((node) -> node.version() == 1));
		await(() -> relays().stream()
			.allMatch((node) -> node.distribution().registry().unexpired().size() == ENDPOINTS));
		pause(3_000);
		print("%d nodes, %d relays with %d children at most, %d services, %d endpoints", NODES, relays().size(),
				relays().stream().mapToInt((node) -> node.distribution().status().children()).max().orElse(0), SERVICES,
				ENDPOINTS);
		print("heap: %.1f MB for all nodes together", (heapBytes() - heapBefore) / 1e6);
		event("nothing", (index) -> {
		});
		event("change of one service", this::change);
		event("announcement", (index) -> this.root.distribution()
			.merge(List.of(remoteEndpoint(index).next(EndpointState.READY, "other-0")), null, null));
		event("evidence of 30 keys at each node",
				(index) -> this.mesh.nodes().forEach((node) -> node.distribution().report(evidence())));
	}

	private void event(String name, IntConsumer action) {
		Node relay = relays().getFirst();
		Node leaf = this.mesh.nodes()
			.stream()
			.filter((node) -> node.distribution().status().children() == 0)
			.findFirst()
			.orElseThrow();
		long relayBefore = bytes(relay);
		long leafBefore = bytes(leaf);
		long cpuBefore = cpuNanos();
		long startNanos = System.nanoTime();
		for (int index = 0; index < EVENTS; index++) {
			action.accept(index);
			pause(EVENT_INTERVAL_MILLIS);
		}
		pause(2_000);
		double seconds = (System.nanoTime() - startNanos) / 1e9;
		print("%s, %.1f a second: relay %.0f B/s, leaf %.0f B/s, %.3f ms of CPU per event and node,"
				+ " %.3f%% of a core per node", name, EVENTS / seconds, (bytes(relay) - relayBefore) / seconds,
				(bytes(leaf) - leafBefore) / seconds, (cpuNanos() - cpuBefore) / 1e6 / EVENTS / NODES,
				(cpuNanos() - cpuBefore) / 1e7 / seconds / NODES);
	}

	private void change(int index) {
		this.configuration = this.configuration.next(this.configuration.version() + 1,
				List.of(this.configuration.service("service-" + this.random.nextInt(SERVICES)).orElseThrow()),
				List.of());
		this.root.distribution().publish(this.configuration);
	}

	private Evidence evidence() {
		Map<ObservationKey, Observations> observations = new HashMap<>();
		for (int key = 0; key < 30; key++) {
			long[] counts = new long[LatencyHistogram.BUCKETS];
			counts[4 + this.random.nextInt(8)] = 3;
			observations.put(new ObservationKey("service-" + key, "order", "v1"),
					new Observations(3, 0, 0, LatencyHistogram.of(counts)));
		}
		return Evidence.of(observations);
	}

	private static Endpoint remoteEndpoint(int index) {
		return new Endpoint("other-" + index, 1_796_000_000_000L, 3, EndpointState.READY, "service-" + index % SERVICES,
				"v1", "gauteng", "germiston", "127.0.1.1:7400", 12, 100, "other-0");
	}

	private List<Node> relays() {
		return this.mesh.nodes().stream().filter((node) -> node.distribution().status().children() > 0).toList();
	}

	private static long bytes(Node node) {
		NodeStatus status = node.distribution().status();
		return status.bytesSent() + status.bytesReceived();
	}

	private static long heapBytes() {
		System.gc();
		System.gc();
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static long cpuNanos() {
		return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
			.getProcessCpuTime();
	}

	private static void await(Supplier<Boolean> condition) {
		if (!Await.until(TIMEOUT_MILLIS, condition)) {
			throw new IllegalStateException("the mesh did not converge in " + TIMEOUT_MILLIS + " ms");
		}
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void print(String format, Object... values) {
		System.out.println(String.format(Locale.ROOT, format, values));
	}

}
