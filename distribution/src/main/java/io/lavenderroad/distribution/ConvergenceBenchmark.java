package io.lavenderroad.distribution;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.Stream;

import io.lavenderroad.distribution.LocalMesh.Await;
import io.lavenderroad.distribution.LocalMesh.Node;
import io.lavenderroad.distribution.LocalMesh.Root;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.ServiceConfiguration;

/**
 * Measures the time and cost of distributing changes to all nodes, over loopback sockets
 * in one process. Arguments: numbers of nodes, by default 10, 50 and 200; or
 * {@code model} for the computed comparison at the design capacity, or {@code relay} for
 * the load of a relay at the design capacity, or {@code soak SECONDS SEED} for random
 * faults.
 */
public final class ConvergenceBenchmark {

	private static final long TIMEOUT_MILLIS = 120_000;

	private static final int CHANGES = 40;

	private static final long CHANGE_INTERVAL_MILLIS = 250;

	private static final long STEADY_MILLIS = 10_000;

	private static final int FAILURE_DOMAINS = 3;

	/**
	 * Nodes for each service of the mesh, about as many as at the design capacity, which
	 * has 7,800 nodes in 1,000 services.
	 */
	private static final int NODES_PER_SERVICE = 8;

	private final Random random = new Random(20261204);

	private final LocalMesh mesh = new LocalMesh().withRelays();

	private final int size;

	private final AtomicLongArray activeNanos;

	private volatile long watchedVersion = Long.MAX_VALUE;

	private Root root;

	private MeshConfiguration configuration;

	private ConvergenceBenchmark(int size) {
		this.size = size;
		this.activeNanos = new AtomicLongArray(size);
	}

	/**
	 * Runs the benchmark.
	 * @param arguments numbers of nodes, {@code model}, {@code relay} or {@code soak}
	 */
	public static void main(String[] arguments) {
		Locale.setDefault(Locale.ROOT);
		if (List.of(arguments).equals(List.of("model"))) {
			FullSizeModel.print(System.out);
			return;
		}
		if (List.of(arguments).equals(List.of("relay"))) {
			RelayLoadBenchmark.run();
			return;
		}
		if (arguments.length == 3 && arguments[0].equals("soak")) {
			List<String> violations = FaultSoak.run(Integer.parseInt(arguments[1]), Long.parseLong(arguments[2]));
			violations.forEach(System.out::println);
			return;
		}
		int[] sizes = (arguments.length > 0) ? Stream.of(arguments).mapToInt(Integer::parseInt).toArray()
				: new int[] { 10, 50, 200 };
		List<double[]> points = new ArrayList<>();
		for (int size : sizes) {
			ConvergenceBenchmark benchmark = new ConvergenceBenchmark(size);
			try {
				points.add(new double[] { size, benchmark.run() });
			}
			finally {
				benchmark.mesh.close();
			}
		}
		printSlope(points);
	}

	private static void printSlope(List<double[]> points) {
		if (points.size() < 2) {
			return;
		}
		double[] first = points.getFirst();
		double[] last = points.getLast();
		print("slope: p50 %.4f ms per added node, %.2f ms per doubling", (last[1] - first[1]) / (last[0] - first[0]),
				(last[1] - first[1]) / (Math.log(last[0] / first[0]) / Math.log(2)));
	}

	private double run() {
		this.root = this.mesh.startRoots(1, () -> Optional.of(1L)).getFirst();
		this.configuration = services(Math.max(3, this.size / NODES_PER_SERVICE), this.random);
		this.root.distribution().publish(this.configuration);
		long startNanos = System.nanoTime();
		for (int index = 0; index < this.size; index++) {
			start(index);
		}
		awaitVersion("join", this.mesh.nodes());
		print("n=%d services=%d join of all: %.0f ms, depth %d, relays %d, largest number of children %d", this.size,
				this.configuration.services().size(), millisSince(startNanos), depth(), relays().size(),
				relays().stream().mapToInt((node) -> node.distribution().status().children()).max().orElse(0));
		awaitEndpoints();
		pause(3_000);
		double[] steadyRates = measureSteadyRates();
		double p50 = measureChanges(steadyRates);
		killRelay(false);
		killRelay(true);
		restartAllNodes();
		return p50;
	}

	private Node start(int index) {
		String service = "service-" + index % this.configuration.services().size();
		Node node = this.mesh.node("node-" + index, "domain-" + index % FAILURE_DOMAINS, service).start();
		node.distribution().onChange(() -> {
			if (node.version() >= this.watchedVersion) {
				this.activeNanos.compareAndSet(index, 0, System.nanoTime());
			}
		});
		return node;
	}

	private double[] measureSteadyRates() {
		long[] before = this.mesh.nodes().stream().mapToLong(ConvergenceBenchmark::bytes).toArray();
		long rootBefore = rootBytes();
		long cpuBefore = cpuNanos();
		long startNanos = System.nanoTime();
		pause(STEADY_MILLIS);
		double seconds = millisSince(startNanos) / 1_000;
		double cpuShare = (cpuNanos() - cpuBefore) / 1e9 / seconds / this.size;
		double[] rates = new double[this.size];
		for (int index = 0; index < this.size; index++) {
			rates[index] = (bytes(this.mesh.nodes().get(index)) - before[index]) / seconds;
		}
		double total = Arrays.stream(rates).sum();
		double rootRate = (rootBytes() - rootBefore) / seconds;
		print("n=%d steady: %.0f B/s per node on average, %.0f B/s at the busiest relay, %.0f B/s at the root,"
				+ " %.3f%% of a core per node with the root", this.size, total / this.size,
				Arrays.stream(rates).max().orElse(0), rootRate, cpuShare * 100);
		return new double[] { total, rootRate };
	}

	private double measureChanges(double[] steadyRates) {
		double[] allNodesMillis = new double[CHANGES];
		double[] singleNodeMillis = new double[CHANGES * this.size];
		long bytesBefore = totalBytes();
		long rootBefore = rootBytes();
		long cpuBefore = cpuNanos();
		long startNanos = System.nanoTime();
		for (int change = 0; change < CHANGES; change++) {
			long publishedNanos = publish();
			awaitWatched();
			long last = publishedNanos;
			for (int index = 0; index < this.size; index++) {
				last = Math.max(last, this.activeNanos.get(index));
				singleNodeMillis[change * this.size + index] = (this.activeNanos.get(index) - publishedNanos) / 1e6;
			}
			allNodesMillis[change] = (last - publishedNanos) / 1e6;
			pause(CHANGE_INTERVAL_MILLIS);
		}
		double seconds = millisSince(startNanos) / 1_000;
		double changeBytes = (totalBytes() - bytesBefore - steadyRates[0] * seconds) / CHANGES / this.size;
		double rootChangeBytes = (rootBytes() - rootBefore - steadyRates[1] * seconds) / CHANGES;
		Arrays.sort(allNodesMillis);
		Arrays.sort(singleNodeMillis);
		print("n=%d change in force on all nodes: p50 %.1f ms, p99 %.1f ms; on one node: p50 %.1f ms, p99 %.1f ms",
				this.size, quantile(allNodesMillis, 0.5), quantile(allNodesMillis, 0.99),
				quantile(singleNodeMillis, 0.5), quantile(singleNodeMillis, 0.99));
		print("n=%d change bytes above steady: %.0f B per node, %.0f B at the root; %.2f ms of CPU per node", this.size,
				changeBytes, rootChangeBytes, (cpuNanos() - cpuBefore) / 1e6 / CHANGES / this.size);
		return quantile(allNodesMillis, 0.5);
	}

	private void killRelay(boolean freeze) {
		Optional<Node> relay = relays().stream()
			.filter((node) -> node.distribution().status().path().size() == 1)
			.max(Comparator.comparingInt((node) -> node.distribution().status().children()));
		if (relay.isEmpty()) {
			print("n=%d no relay to lose", this.size);
			return;
		}
		Node lost = relay.get();
		int children = lost.distribution().status().children();
		long startNanos = System.nanoTime();
		if (freeze) {
			lost.freeze();
		}
		else {
			lost.kill();
		}
		publish();
		List<Node> survivors = this.mesh.nodes().stream().filter((node) -> node != lost).toList();
		awaitVersion("relay loss", survivors);
		double millis = millisSince(startNanos);
		print("n=%d relay with %d children %s: change published at that moment in force on all others after %.0f ms,"
				+ " depth %d", this.size, children, freeze ? "hangs" : "dies", millis, depth());
		lost.kill();
		replace(lost);
		awaitVersion("return of the relay", this.mesh.nodes());
	}

	private void replace(Node lost) {
		int index = this.mesh.nodes().indexOf(lost);
		this.mesh.nodes().remove(lost);
		Node next = start(index);
		this.mesh.nodes().remove(next);
		this.mesh.nodes().add(index, next);
	}

	private void restartAllNodes() {
		List<Node> old = List.copyOf(this.mesh.nodes());
		old.forEach(Node::kill);
		this.mesh.nodes().clear();
		long rootBefore = rootBytes();
		long startNanos = System.nanoTime();
		for (int index = 0; index < this.size; index++) {
			start(index);
		}
		awaitVersion("herd", this.mesh.nodes());
		print("n=%d restart of all nodes: all in force after %.0f ms, %d B at the root, depth %d", this.size,
				millisSince(startNanos), rootBytes() - rootBefore, depth());
	}

	private long publish() {
		for (int index = 0; index < this.size; index++) {
			this.activeNanos.set(index, 0);
		}
		List<ServiceConfiguration> services = List.copyOf(this.configuration.services().values());
		ServiceConfiguration changed = services.get(this.random.nextInt(services.size()))
			.toBuilder()
			.routes(routes(this.random))
			.build();
		this.configuration = this.configuration.next(this.configuration.version() + 1, List.of(changed), List.of());
		this.watchedVersion = this.configuration.version();
		long nanos = System.nanoTime();
		this.root.distribution().publish(this.configuration);
		return nanos;
	}

	private void awaitWatched() {
		boolean done = Await.until(TIMEOUT_MILLIS, () -> {
			for (int index = 0; index < this.size; index++) {
				if (this.activeNanos.get(index) == 0) {
					return false;
				}
			}
			return true;
		});
		if (!done) {
			throw new IllegalStateException("version " + this.watchedVersion + " did not reach all nodes");
		}
	}

	private void awaitVersion(String step, List<Node> nodes) {
		long version = this.configuration.version();
		if (!Await.until(TIMEOUT_MILLIS, () -> nodes.stream().allMatch((node) -> node.version() >= version))) {
			List<String> late = nodes.stream()
				.filter((node) -> node.version() < version)
				.map((node) -> node.id + " " + node.distribution().status())
				.limit(5)
				.toList();
			throw new IllegalStateException(step + ": version " + version + " did not reach " + late);
		}
	}

	private void awaitEndpoints() {
		if (!Await.until(TIMEOUT_MILLIS, () -> this.root.distribution().registry().unexpired().size() == this.size)) {
			throw new IllegalStateException("the registry of the root has "
					+ this.root.distribution().registry().unexpired().size() + " of " + this.size + " nodes");
		}
	}

	private List<Node> relays() {
		return this.mesh.nodes().stream().filter((node) -> node.distribution().status().children() > 0).toList();
	}

	private int depth() {
		return this.mesh.nodes()
			.stream()
			.mapToInt((node) -> node.distribution().status().path().size())
			.max()
			.orElse(0);
	}

	private long totalBytes() {
		return this.mesh.nodes().stream().mapToLong(ConvergenceBenchmark::bytes).sum();
	}

	private long rootBytes() {
		return this.root.distribution().localBytes();
	}

	private static long bytes(Node node) {
		NodeStatus status = node.distribution().status();
		return status.bytesSent() + status.bytesReceived();
	}

	static MeshConfiguration services(int count, Random random) {
		List<ServiceConfiguration> services = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			services.add(ServiceConfiguration.builder("service-" + index)
				.team("team-" + index % 50)
				.openToCallers(index % 20 == 0)
				.calls(List.of("service-" + random.nextInt(count), "service-" + random.nextInt(count)))
				.routes(routes(random))
				.versions(List.of("v1", "v2"))
				.split(Map.of("v1", 9_000, "v2", 1_000))
				.build());
		}
		return MeshConfiguration.EMPTY.next(1, services, List.of());
	}

	private static List<Route> routes(Random random) {
		return Stream.of("list", "order", "status")
			.map((name) -> new Route(name, "GET", "/" + name, true, 500 + random.nextInt(1_000), 65_536))
			.toList();
	}

	static double quantile(double[] sorted, double quantile) {
		return sorted[Math.min(sorted.length - 1, (int) Math.ceil(sorted.length * quantile) - 1)];
	}

	private static double millisSince(long startNanos) {
		return (System.nanoTime() - startNanos) / 1e6;
	}

	private static long cpuNanos() {
		return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
			.getProcessCpuTime();
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
