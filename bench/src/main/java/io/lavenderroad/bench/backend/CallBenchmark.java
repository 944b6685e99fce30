package io.lavenderroad.bench.backend;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.lavenderroad.policy.calls.RoundRobin;
import io.lavenderroad.policy.calls.TwoChoices;

/**
 * Measures calls over real sockets. Each node runs in its own process with the memory
 * settings of the product; backend servers and callers run in this process. It must be
 * run from the packaged jars, because class-data sharing requires them.
 */
public final class CallBenchmark {

	private static final int WARM_UP_SECONDS = 5;

	private static final int WINDOW_MILLIS = 250;

	private final Arguments arguments;

	private final Path archive;

	private CallBenchmark(Arguments arguments) {
		this.arguments = arguments;
		this.archive = Path.of(arguments.archive).toAbsolutePath();
	}

	/**
	 * Runs the experiments.
	 * @param arguments see {@code --help}
	 * @throws Exception if a process cannot start
	 */
	public static void main(String[] arguments) throws Exception {
		Arguments parsed = new Arguments();
		JCommander commander = JCommander.newBuilder().addObject(parsed).programName("call-benchmark").build();
		commander.parse(arguments);
		if (parsed.help) {
			commander.usage();
			return;
		}
		CallBenchmark benchmark = new CallBenchmark(parsed);
		benchmark.createClassArchive();
		for (String experiment : parsed.experiments) {
			switch (experiment) {
				case "latency" -> benchmark.latency();
				case "balancing" -> benchmark.balancing();
				case "surge" -> benchmark.surge();
				default -> throw new IllegalArgumentException("no experiment '" + experiment + "'");
			}
		}
		System.exit(0);
	}

	private void latency() throws Exception {
		Behaviour behaviour = Behaviour.DEFAULT.with(Map.of("service-millis", "5", "slots", "12"));
		for (int rate : this.arguments.rates) {
			try (Fleet fleet = new Fleet(TwoChoices.NAME, false)) {
				fleet.add("entry", behaviour, 12);
				NodeProcess server = fleet.add("server", behaviour, 12);
				fleet.exchangeEndpoints();
				int direct = server.backend().address().getPort();
				List<Integer> ports = List.of(direct, fleet.members.getFirst().httpPort());
				OpenLoopLoadGenerator generator = new OpenLoopLoadGenerator(1_000, 0);
				generator.run(ports, 2.0 * rate, WARM_UP_SECONDS);
				List<OpenLoopLoadGenerator.Outcome> outcomes = generator.run(ports, 2.0 * rate, this.arguments.seconds);
				double[] directMillis = sortedMillis(outcomes,
						(outcome) -> outcome.port() == direct && outcome.isSuccessful());
				double[] meshMillis = sortedMillis(outcomes,
						(outcome) -> outcome.port() != direct && outcome.isSuccessful());
				print("latency: %d calls/s each way for %d s: direct p50 %.2f p99 %.2f ms (%d); through two nodes "
						+ "p50 %.2f p99 %.2f ms (%d); added p50 %.2f p99 %.2f ms; resident %s MB", rate,
						this.arguments.seconds, quantile(directMillis, 0.5), quantile(directMillis, 0.99),
						directMillis.length, quantile(meshMillis, 0.5), quantile(meshMillis, 0.99), meshMillis.length,
						quantile(meshMillis, 0.5) - quantile(directMillis, 0.5),
						quantile(meshMillis, 0.99) - quantile(directMillis, 0.99), fleet.residentMegabytes());
			}
		}
	}

	private void balancing() throws Exception {
		int[] serviceMillis = { 20, 20, 40, 40, 80, 80, 160, 320 };
		int slots = 4;
		double capacity = Arrays.stream(serviceMillis).mapToDouble((millis) -> slots * 1_000.0 / millis).sum();
		for (double load : new double[] { 0.4, 0.7 }) {
			for (String policy : List.of(TwoChoices.NAME, RoundRobin.NAME)) {
				try (Fleet fleet = new Fleet(policy, false)) {
					for (int index = 0; index < serviceMillis.length; index++) {
						fleet
							.add("server-" + index,
									Behaviour.DEFAULT.with(Map.of("service-millis",
											String.valueOf(serviceMillis[index]), "slots", String.valueOf(slots))),
									slots);
					}
					fleet.exchangeEndpoints();
					OpenLoopLoadGenerator generator = new OpenLoopLoadGenerator(2_000, 0);
					generator.run(fleet.httpPorts(), capacity * load, WARM_UP_SECONDS);
					List<OpenLoopLoadGenerator.Outcome> outcomes = generator.run(fleet.httpPorts(), capacity * load,
							this.arguments.seconds);
					double[] successMillis = sortedMillis(outcomes, OpenLoopLoadGenerator.Outcome::isSuccessful);
					print("balancing: %s at %.0f%% of %.0f calls/s: p50 %.2f p99 %.2f ms, %.2f%% not answered of %d; "
							+ "resident %s MB", policy, load * 100, capacity, quantile(successMillis, 0.5),
							quantile(successMillis, 0.99),
							100.0 * (outcomes.size() - successMillis.length) / outcomes.size(), outcomes.size(),
							fleet.residentMegabytes());
				}
			}
		}
	}

	private void surge() throws Exception {
		int servers = 4;
		int slots = 8;
		int serviceMillis = 100;
		double capacity = servers * slots * 1_000.0 / serviceMillis;
		for (boolean limited : new boolean[] { true, false }) {
			try (Fleet fleet = new Fleet(TwoChoices.NAME, !limited)) {
				for (int index = 0; index < servers; index++) {
					fleet.add("server-" + index, Behaviour.DEFAULT
						.with(Map.of("service-millis", String.valueOf(serviceMillis), "slots", String.valueOf(slots))),
							slots);
				}
				fleet.exchangeEndpoints();
				surge(fleet, limited ? "with limits" : "without limits", capacity);
			}
		}
	}

	private void surge(Fleet fleet, String name, double capacity) throws IOException {
		OpenLoopLoadGenerator generator = new OpenLoopLoadGenerator(1_000, 2);
		generator.run(fleet.httpPorts(), 0.7 * capacity, WARM_UP_SECONDS);
		long startedAtBeginning = fleet.started();
		List<OpenLoopLoadGenerator.Outcome> before = generator.run(fleet.httpPorts(), 0.7 * capacity, 5);
		long startedBeforeSurge = fleet.started();
		long finishedBeforeSurge = fleet.finished();
		Thread[] sender = new Thread[1];
		List<OpenLoopLoadGenerator.Outcome> during = new ArrayList<>();
		sender[0] = Thread.ofPlatform().start(() -> during.addAll(generator.run(fleet.httpPorts(), 3 * capacity, 5)));
		sleep(5_000);
		// The base load continues immediately, while calls of the surge are still in
		// flight.
		long endNanos = System.nanoTime();
		List<OpenLoopLoadGenerator.Outcome> after = generator.run(fleet.httpPorts(), 0.7 * capacity, 10);
		try {
			sender[0].join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		printPhase(name + ", before", before, 0.7 * capacity);
		printPhase(name + ", surge of 3 times capacity", during, 3 * capacity);
		printPhase(name + ", after", after, 0.7 * capacity);
		long good = during.stream().filter(OpenLoopLoadGenerator.Outcome::isSuccessful).count()
				+ after.stream().filter(OpenLoopLoadGenerator.Outcome::isSuccessful).count();
		long started = fleet.started() - startedBeforeSurge;
		double limit = 2 * quantile(sortedMillis(before, OpenLoopLoadGenerator.Outcome::isSuccessful), 0.99);
		print("surge: %s: %d runs started before, then %d started, %d finished, %d answered in time: %.1f%% wasted; "
				+ "recovered %s after the surge; resident %s MB", name, startedBeforeSurge - startedAtBeginning,
				started, fleet.finished() - finishedBeforeSurge, good, 100.0 * (started - good) / started,
				recoveryTime(after, endNanos, limit), fleet.residentMegabytes());
	}

	// Start of the first window from which on, in each window, 99% of the calls are
	// answered within the limit or at most one call is not.
	private static String recoveryTime(List<OpenLoopLoadGenerator.Outcome> outcomes, long endNanos,
			double limitMillis) {
		int windows = 0;
		for (OpenLoopLoadGenerator.Outcome outcome : outcomes) {
			windows = Math.max(windows, window(outcome, endNanos) + 1);
		}
		int[] all = new int[windows];
		int[] slow = new int[windows];
		for (OpenLoopLoadGenerator.Outcome outcome : outcomes) {
			all[window(outcome, endNanos)]++;
			slow[window(outcome, endNanos)] += (outcome.isSuccessful() && outcome.millis() <= limitMillis) ? 0 : 1;
		}
		int first = windows;
		while (first > 0 && slow[first - 1] * 100 <= Math.max(100, all[first - 1])) {
			first--;
		}
		return (first == windows) ? "not within 10 s" : "%d ms".formatted(first * WINDOW_MILLIS);
	}

	private static int window(OpenLoopLoadGenerator.Outcome outcome, long endNanos) {
		return (int) Math.max(0, TimeUnit.NANOSECONDS.toMillis(outcome.dueNanos() - endNanos) / WINDOW_MILLIS);
	}

	private static void printPhase(String name, List<OpenLoopLoadGenerator.Outcome> outcomes, double rate) {
		double[] successMillis = sortedMillis(outcomes, OpenLoopLoadGenerator.Outcome::isSuccessful);
		long refused = outcomes.stream()
			.filter((outcome) -> outcome.status() == 503 || outcome.status() == 429)
			.count();
		long late = outcomes.stream().filter((outcome) -> outcome.status() == 504).count();
		print("surge: %s: %.0f calls/s, %d calls: %d answered, p50 %.1f p99 %.1f ms; %d refused, %d over the deadline, "
				+ "%d otherwise lost", name, rate, outcomes.size(), successMillis.length, quantile(successMillis, 0.5),
				quantile(successMillis, 0.99), refused, late, outcomes.size() - successMillis.length - refused - late);
	}

	// A short run records the classes that a node loads. A single archive of only these
	// classes takes less memory than the default archive of the JVM plus a dynamic one.
	private void createClassArchive() throws Exception {
		Path classList = Path.of(this.archive + ".server");
		try (Fleet fleet = new Fleet(TwoChoices.NAME, false, "-XX:DumpLoadedClassList=" + this.archive + ".{id}")) {
			fleet.add("entry", Behaviour.DEFAULT, 12);
			fleet.add("server", Behaviour.DEFAULT, 12);
			fleet.exchangeEndpoints();
			new OpenLoopLoadGenerator(1_000, 0).run(fleet.httpPorts(), 100, 2);
		}
		Process dump = new ProcessBuilder(java(), "-Xshare:dump", "-XX:+UseSerialGC", "-XX:+UseCompactObjectHeaders",
				"-Xmx128m", "-XX:SharedClassListFile=" + classList, "-XX:SharedArchiveFile=" + this.archive, "-cp",
				System.getProperty("java.class.path"))
			.redirectErrorStream(true)
			.redirectOutput(Path.of(this.arguments.logs, "archive.log").toFile())
			.start();
		if (dump.waitFor() != 0) {
			throw new IOException("class archive was not written; see " + this.arguments.logs + "/archive.log");
		}
	}

	private static String java() {
		return Path.of(System.getProperty("java.home"), "bin", "java").toString();
	}

	private static double[] sortedMillis(List<OpenLoopLoadGenerator.Outcome> outcomes,
			Predicate<OpenLoopLoadGenerator.Outcome> selection) {
		return outcomes.stream()
			.filter(selection)
			.mapToDouble(OpenLoopLoadGenerator.Outcome::millis)
			.sorted()
			.toArray();
	}

	private static double quantile(double[] sorted, double quantile) {
		return (sorted.length == 0) ? Double.NaN
				: sorted[Math.min(sorted.length - 1, (int) (sorted.length * quantile))];
	}

	private static void print(String format, Object... values) {
		System.out.println(String.format(Locale.ROOT, format, values));
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record NodeProcess(StandInBackend backend, Process process, BufferedReader output, BufferedWriter input,
			String id, String domain, int framePort, int httpPort) {

	}

	private final class Fleet implements AutoCloseable {

		private final List<NodeProcess> members = new ArrayList<>();

		private final String policy;

		private final boolean unlimited;

		private final String[] options;

		private Fleet(String policy, boolean unlimited, String... options) {
			this.policy = policy;
			this.unlimited = unlimited;
			this.options = (options.length > 0) ? options
					: new String[] { "-XX:SharedArchiveFile=" + CallBenchmark.this.archive };
		}

		private NodeProcess add(String id, Behaviour behaviour, int slots) throws IOException {
			StandInBackend backend = StandInBackend.start(id,
					new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), behaviour);
			List<String> command = new ArrayList<>(
					List.of(java(), "-XX:+UseSerialGC", this.unlimited ? "-Xmx256m" : "-Xmx24m", "-Xss256k",
							"-XX:+ExitOnOutOfMemoryError", "-XX:TieredStopAtLevel=1", "-XX:+UseCompactObjectHeaders",
							"-XX:-UsePerfData", "-Djdk.virtualThreadScheduler.parallelism=2"));
			command.addAll(CallBenchmark.this.arguments.options);
			for (String option : this.options) {
				command.add(option.replace("{id}", id));
			}
			command.addAll(List.of("-cp", System.getProperty("java.class.path"), BenchNode.class.getName(), "--id", id,
					"--backend-port", String.valueOf(backend.address().getPort()), "--slots", String.valueOf(slots),
					"--policy", this.policy));
			if (this.unlimited) {
				command.add("--unlimited");
			}
			ProcessBuilder builder = new ProcessBuilder(command)
				.redirectError(Path.of(CallBenchmark.this.arguments.logs, id + ".log").toFile());
			// Limits malloc to one arena: further arenas cost memory and are hardly used.
			builder.environment().put("MALLOC_ARENA_MAX", "1");
			Process process = builder.start();
			BufferedReader output = new BufferedReader(
					new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
			String line = output.readLine();
			while (line != null && !line.matches("\\d+ \\d+ \\d+")) {
				line = output.readLine();
			}
			if (line == null) {
				throw new IOException("node " + id + " did not start");
			}
			Thread.ofVirtual().start(() -> output.lines().forEach((text) -> {
			}));
			String[] ports = line.split(" ");
			NodeProcess member = new NodeProcess(backend, process, output,
					new BufferedWriter(new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8)), id,
					"soweto", Integer.parseInt(ports[0]), Integer.parseInt(ports[1]));
			this.members.add(member);
			return member;
		}

		private void exchangeEndpoints() throws IOException {
			for (NodeProcess member : this.members) {
				for (NodeProcess other : this.members) {
					member.input().write(other.id() + " " + other.domain() + " " + other.framePort() + "\n");
				}
				member.input().write("\n");
				member.input().flush();
			}
			sleep(500);
		}

		private List<Integer> httpPorts() {
			return this.members.stream().map(NodeProcess::httpPort).toList();
		}

		private long started() {
			return this.members.stream().mapToLong((member) -> member.backend().record().started()).sum();
		}

		private long finished() {
			return this.members.stream().mapToLong((member) -> member.backend().record().finished()).sum();
		}

		// Smallest and largest resident set size of the node processes.
		private String residentMegabytes() throws IOException {
			List<Long> resident = new ArrayList<>();
			for (NodeProcess member : this.members) {
				for (String line : Files
					.readAllLines(Path.of("/proc", String.valueOf(member.process().pid()), "status"))) {
					if (line.startsWith("VmRSS:")) {
						resident.add(Long.parseLong(line.replaceAll("\\D", "")) / 1_024);
					}
				}
			}
			resident.sort(null);
			return resident.getFirst() + " to " + resident.getLast();
		}

		@Override
		public void close() throws Exception {
			for (NodeProcess member : this.members) {
				member.input().close();
			}
			for (NodeProcess member : this.members) {
				if (!member.process().waitFor(20, TimeUnit.SECONDS)) {
					member.process().destroyForcibly();
				}
				member.backend().close();
			}
		}

	}

	private static final class Arguments {

		@Parameter(names = "--experiment", description = "latency, balancing or surge; may be repeated.")
		private List<String> experiments = new ArrayList<>(List.of("latency", "balancing", "surge"));

		@Parameter(names = "--rate", description = "Calls per second of the latency experiment; may be repeated.")
		private List<Integer> rates = new ArrayList<>(List.of(100, 500));

		@Parameter(names = "--seconds", description = "Duration of each measurement.")
		private int seconds = 10;

		@Parameter(names = "--archive", description = "File for the shared classes of the nodes.")
		private String archive = "bench/target/node.jsa";

		@Parameter(names = "--node-option",
				description = "Further option of each node's Java machine; may be repeated.")
		private List<String> options = new ArrayList<>(List.of("-Xms8m", "-Xmn4m", "-XX:+UnlockDiagnosticVMOptions",
				"-XX:ArchiveRelocationMode=0", "-XX:ReservedCodeCacheSize=16m"));

		@Parameter(names = "--logs", description = "Folder for the log of each node.")
		private String logs = "bench/target";

		@Parameter(names = "--help", help = true, description = "Prints this text.")
		private boolean help;

	}

}
