package io.lavenderroad.bench.node;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.lavenderroad.bench.cluster.DaemonProcess;
import io.lavenderroad.bench.cluster.OperatorClient;
import io.lavenderroad.bench.cluster.ProcessCluster;
import io.lavenderroad.bench.load.CallKind;
import io.lavenderroad.bench.load.LoadGenerator;
import io.lavenderroad.bench.load.LoadReport;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.LavenderroadException;

/**
 * Measures nodes as separate processes: resident memory, processor time and control
 * traffic when idle and under load, and the latency that two nodes add to a call,
 * compared with direct calls to the stub backend server in the same run.
 */
public final class NodeCostBenchmark {

	private static final CallKind QUERY = new CallKind("catalogue", "GET", "/items/1", true, 1);

	private static final long START_LIMIT_MILLIS = 60_000;

	private static final double MILLIS_PER_SECOND = 1_000.0;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double PERCENT = 100.0;

	private final Clock clock = Clock.system();

	private final Options options;

	private final Path home;

	private final ProcessCluster cluster;

	private final OperatorClient client;

	private NodeCostBenchmark(Options options, Path folder) {
		this.options = options;
		this.home = Path.of(options.home).toAbsolutePath();
		this.cluster = new ProcessCluster("cost", 8, this.home, folder, List.of("germiston", "midrand", "soweto"));
		this.client = new OperatorClient(() -> List.of(this.cluster.controlAddresses().split(",")), (event) -> {
		}, this.clock);
	}

	/**
	 * Runs the benchmark.
	 * @param arguments see {@code --help}
	 * @throws Exception if the run folder cannot be written or a call fails
	 */
	public static void main(String[] arguments) throws Exception {
		Options options = new Options();
		JCommander commander = JCommander.newBuilder().addObject(options).programName("bench node").build();
		commander.parse(arguments);
		if (options.help) {
			commander.usage();
			return;
		}
		Path folder = Path.of(options.folder, "node-cost-" + System.currentTimeMillis()).toAbsolutePath();
		Files.createDirectories(folder);
		NodeCostBenchmark benchmark = new NodeCostBenchmark(options, folder);
		try {
			benchmark.run();
		}
		finally {
			benchmark.cluster.close();
		}
	}

	private void run() throws IOException, InterruptedException {
		start();
		print("%d nodes, 3 control members, machine load %s", this.options.nodes, loadAverage());
		print("%-28s %12s %12s %14s %14s", "state", "resident kB", "cores %", "control B/s", "member cores %");
		measure("idle");
		LoadGenerator load = new LoadGenerator(this::callerAddresses, List.of(QUERY),
				this.options.nodes * this.options.callsPerNode, (event) -> {
				}, this.clock, 1);
		load.start();
		Thread.sleep(5_000);
		load.takeReport();
		measure(this.options.callsPerNode + " calls/s for each node");
		LoadReport report = load.takeReport();
		load.close();
		print("load: %s", report);
		compareLatency();
	}

	private void start() throws IOException {
		this.cluster.startControl(3);
		for (int index = 0; index < this.options.nodes; index++) {
			this.cluster.startWorker("catalogue", "v1", 12, List.of("--set", "service-millis=2"));
		}
		await("all nodes attach",
				() -> this.client.get("/v1/status")
					.map((status) -> ((Number) status.get("nodes")).intValue() == this.options.nodes)
					.orElse(false));
		Map<String, String> documents = new TreeMap<>();
		for (String name : List.of("template", "parameters")) {
			documents.put(name, Files.readString(this.home.resolve("examples/mokoena/" + name + ".yml")));
		}
		this.client.apply("cost", 0, documents, START_LIMIT_MILLIS);
		await("all nodes are ready", () -> this.cluster.ids(false)
			.stream()
			.allMatch((id) -> this.client.get(this.cluster.address(id) + ":" + ProcessCluster.ADMIN_PORT, "/health")
				.filter((health) -> "READY".equals(health.get("state")))
				.isPresent()));
	}

	private void measure(String state) throws InterruptedException {
		long nodeBefore = sum(false, DaemonProcess::processorMillis);
		long memberBefore = sum(true, DaemonProcess::processorMillis);
		long bytesBefore = controlBytes();
		long start = this.clock.millis();
		Thread.sleep(this.options.seconds * 1_000L);
		double seconds = (this.clock.millis() - start) / MILLIS_PER_SECOND;
		long resident = sum(false, (process) -> process.residentKilobytes().orElse(0)) / this.options.nodes;
		double nodeCores = (sum(false, DaemonProcess::processorMillis) - nodeBefore) / MILLIS_PER_SECOND / seconds
				/ this.options.nodes;
		double memberCores = (sum(true, DaemonProcess::processorMillis) - memberBefore) / MILLIS_PER_SECOND / seconds
				/ 3;
		double bytes = (controlBytes() - bytesBefore) / seconds / this.options.nodes;
		print("%-28s %12d %12.2f %14.0f %14.2f", state, resident, PERCENT * nodeCores, bytes, PERCENT * memberCores);
	}

	private void compareLatency() throws IOException, InterruptedException {
		String node = this.cluster.ids(false).getFirst();
		URI direct = URI.create("http://" + this.cluster.backendAddress(node) + "/items/1");
		URI through = URI.create("http://" + this.cluster.callerAddress(node) + "/items/1");
		try (HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()) {
			double[] directMillis = new double[this.options.calls];
			double[] throughMillis = new double[this.options.calls];
			for (int call = -this.options.calls / 4; call < this.options.calls; call++) {
				double first = callMillis(http, direct);
				double second = callMillis(http, through);
				if (call >= 0) {
					directMillis[call] = first;
					throughMillis[call] = second;
				}
			}
			Arrays.sort(directMillis);
			Arrays.sort(throughMillis);
			for (double quantile : new double[] { 0.5, 0.9, 0.99 }) {
				int index = (int) Math.min(this.options.calls - 1, Math.round(quantile * this.options.calls));
				print("p%.0f of %d calls one after the other: direct %.2f ms, through the mesh %.2f ms, added %.2f ms",
						PERCENT * quantile, this.options.calls, directMillis[index], throughMillis[index],
						throughMillis[index] - directMillis[index]);
			}
		}
	}

	private static double callMillis(HttpClient http, URI uri) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(uri).header("Mesh-Service", "catalogue").build();
		long start = System.nanoTime();
		HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
		long took = System.nanoTime() - start;
		if (response.statusCode() != 200) {
			throw new LavenderroadException(uri + " answered " + response.statusCode());
		}
		return took / NANOS_PER_MILLI;
	}

	private long controlBytes() {
		return this.cluster.ids(false)
			.stream()
			.mapToLong((id) -> this.client.get(this.cluster.address(id) + ":" + ProcessCluster.ADMIN_PORT, "/status")
				.map((status) -> (Map<?, ?>) status.get("distribution"))
				.map((state) -> ((Number) state.get("bytesSent")).longValue()
						+ ((Number) state.get("bytesReceived")).longValue())
				.orElse(0L))
			.sum();
	}

	private long sum(boolean control, ToLongFunction<DaemonProcess> value) {
		return this.cluster.ids(control).stream().map(this.cluster::process).mapToLong(value).sum();
	}

	private List<String> callerAddresses() {
		return this.cluster.ids(false).stream().map(this.cluster::callerAddress).toList();
	}

	private void await(String what, BooleanSupplier condition) {
		long end = this.clock.millis() + START_LIMIT_MILLIS;
		while (!condition.getAsBoolean()) {
			if (this.clock.millis() > end) {
				throw new LavenderroadException(what + ": not within " + START_LIMIT_MILLIS + " ms");
			}
			try {
				Thread.sleep(100);
			}
			catch (InterruptedException ex) {
				throw new LavenderroadException("interrupted", ex);
			}
		}
	}

	private static String loadAverage() throws IOException {
		return Files.readString(Path.of("/proc/loadavg")).split(" ")[0];
	}

	private static void print(String format, Object... arguments) {
		System.out.println(String.format(format, arguments));
	}

	private static final class Options {

		@Parameter(names = "--nodes", description = "Number of nodes")
		private int nodes = 6;

		@Parameter(names = "--calls-per-node", description = "Calls per second for each node")
		private int callsPerNode = 88;

		@Parameter(names = "--seconds", description = "Length of each measurement")
		private int seconds = 20;

		@Parameter(names = "--calls", description = "Calls of the latency comparison")
		private int calls = 4_000;

		@Parameter(names = "--home", description = "Folder of the built repository")
		private String home = ".";

		@Parameter(names = "--folder", description = "Folder for settings, data and logs")
		private String folder = "run";

		@Parameter(names = "--help", help = true, description = "Print this help")
		private boolean help;

	}

}
