package io.lavenderroad.bench.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.lavenderroad.bench.cluster.HistoryCollector;
import io.lavenderroad.bench.cluster.OperatorClient;
import io.lavenderroad.bench.cluster.ProcessCluster;
import io.lavenderroad.bench.cluster.VersionSampler;
import io.lavenderroad.bench.history.HistoryChecker;
import io.lavenderroad.bench.history.HistoryEvent;
import io.lavenderroad.bench.history.HistoryFile;
import io.lavenderroad.bench.history.Violation;
import io.lavenderroad.bench.load.CallKind;
import io.lavenderroad.bench.load.LoadGenerator;
import io.lavenderroad.bench.load.LoadReport;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.model.rendering.MeshRenderer;

/**
 * Runs both example deployments as separate processes on loopback addresses and under
 * load: a move to a good version that ends as done, a crash of the leader, and a move to
 * a bad version that is taken back. Exits with code 1 if a guarantee was violated.
 */
public final class Demo {

	private static final List<String> FAILURE_DOMAINS = List.of("germiston", "midrand", "soweto");

	private static final List<CallKind> CALLS = List.of(new CallKind("catalogue", "GET", "/items/7", true, 4),
			new CallKind("catalogue", "POST", "/orders", false, 2), new CallKind("counter", "GET", "/price/1", true, 1),
			new CallKind("order-desk", "GET", "/stock/3", true, 4),
			new CallKind("order-desk", "POST", "/orders", false, 2),
			new CallKind("dispatch", "POST", "/charges", false, 1));

	private static final int CALLS_PER_SECOND = 250;

	private static final int SLOTS = 12;

	private static final int CONVERGENCE_LIMIT_MILLIS = 5_000;

	private static final int START_LIMIT_MILLIS = 30_000;

	private static final int MOVE_SECONDS = 25;

	private static final int WITHDRAWAL_LIMIT_MILLIS = 40_000;

	/**
	 * Maximum share of a service's calls that may reach a version that is bad from its
	 * first call on.
	 */
	private static final double BAD_CALLS_LIMIT = 0.01;

	private static final double MILLIS_PER_SECOND = 1_000.0;

	private final Clock clock = Clock.system();

	private final Path home;

	private final Path folder;

	private final ProcessCluster cluster;

	private final List<String> violatedGuarantees = new ArrayList<>();

	private final HistoryFile historyFile;

	private final Path historyPath;

	private final OperatorClient client;

	private final VersionSampler sampler;

	private final LoadGenerator load;

	private Map<String, String> documents = new TreeMap<>();

	private long version;

	private Demo(Path home, Path folder, long seed) {
		this.home = home;
		this.folder = folder;
		this.cluster = new ProcessCluster("demo", 7, home, folder, FAILURE_DOMAINS);
		this.historyPath = folder.resolve("history.txt");
		this.historyFile = HistoryFile.create(this.historyPath);
		this.client = new OperatorClient(() -> List.of(this.cluster.controlAddresses().split(",")),
				this.historyFile::add, this.clock);
		this.sampler = new VersionSampler(this.cluster, this.client, this.historyFile::add, this.clock);
		this.load = new LoadGenerator(() -> this.cluster.ids(false).stream().map(this.cluster::callerAddress).toList(),
				CALLS, CALLS_PER_SECOND, this.historyFile::add, this.clock, seed);
	}

	/**
	 * Runs the demonstration.
	 * @param arguments see {@code --help}
	 * @throws Exception if the run folder cannot be written
	 */
	public static void main(String[] arguments) throws Exception {
		Options options = new Options();
		JCommander commander = JCommander.newBuilder().addObject(options).programName("demo").build();
		commander.parse(arguments);
		if (options.help) {
			commander.usage();
			return;
		}
		Path folder = Path.of(options.folder, "demo-" + System.currentTimeMillis()).toAbsolutePath();
		Files.createDirectories(folder);
		Demo demo = new Demo(Path.of(options.home).toAbsolutePath(), folder, options.seed);
		// Without the hook, a signal to this process alone would leave the child
		// processes running.
		Runtime.getRuntime().addShutdownHook(new Thread(demo.cluster::close));
		int code;
		try {
			code = demo.run();
			if (options.keep) {
				demo.keepRunning();
			}
		}
		finally {
			demo.cluster.close();
		}
		System.exit(code);
	}

	private int run() throws IOException {
		long start = this.clock.millis();
		startProcesses();
		applyBothDeployments();
		this.load.start();
		awaitReadyNodes();
		goodMove();
		killLeader();
		badMove();
		restartKilledMember();
		reportResources();
		this.load.close();
		this.sampler.close();
		checkHistory();
		print("finished after %.1f s", (this.clock.millis() - start) / MILLIS_PER_SECOND);
		this.violatedGuarantees.forEach((guarantee) -> print("BROKEN: %s", guarantee));
		print(this.violatedGuarantees.isEmpty() ? "Every promise held." : "%d promises broke.",
				this.violatedGuarantees.size());
		return this.violatedGuarantees.isEmpty() ? 0 : 1;
	}

	private void startProcesses() {
		long start = this.clock.millis();
		this.cluster.startControl(FAILURE_DOMAINS.size());
		startWorkers("catalogue", "v1", 3, List.of());
		startWorkers("catalogue", "v2", 1, List.of("--set", "error-share=0.5"));
		startWorkers("counter", "v1", 1, List.of());
		startWorkers("order-desk", "v1", 2, List.of());
		startWorkers("order-desk", "v2", 2, List.of());
		startWorkers("dispatch", "v1", 1, List.of());
		int nodes = this.cluster.ids(false).size();
		boolean attached = await(START_LIMIT_MILLIS, () -> attachedNodes() == nodes);
		checkGuarantee(attached, "all nodes attach");
		this.sampler.watchAll();
		print("started 3 control members and %d nodes with backend servers in %.1f s", nodes,
				(this.clock.millis() - start) / MILLIS_PER_SECOND);
	}

	private void startWorkers(String service, String backendVersion, int count, List<String> arguments) {
		for (int index = 0; index < count; index++) {
			this.cluster.startWorker(service, backendVersion, SLOTS, arguments);
		}
	}

	private void applyBothDeployments() throws IOException {
		for (String deployment : List.of("mokoena", "prairie-pantry")) {
			for (String name : List.of("template", "parameters")) {
				Path file = this.home.resolve("examples").resolve(deployment).resolve(name + ".yml");
				String text = Files.readString(file);
				// Uses the document names of the operators' tool, so that the tool can
				// change the documents of a deployment started with --keep.
				this.documents.put(MeshRenderer.documentName(file.toString(), text).get(), text);
			}
		}
		apply("deployments", this.documents);
	}

	private void awaitReadyNodes() {
		long start = this.clock.millis();
		boolean ready = await(START_LIMIT_MILLIS, () -> this.cluster.ids(false).stream().allMatch(this::isReady));
		checkGuarantee(ready, "every backend server ends its cold start");
		print("every backend server is ready after %.1f s", (this.clock.millis() - start) / MILLIS_PER_SECOND);
		reportLoad("load during the cold start");
	}

	private boolean isReady(String nodeId) {
		String admin = this.cluster.address(nodeId) + ":" + ProcessCluster.ADMIN_PORT;
		return this.client.get(admin, "/health").filter((health) -> "READY".equals(health.get("state"))).isPresent();
	}

	private void goodMove() {
		long start = this.clock.millis();
		String text = this.documents.get("parameters/prairie-pantry");
		String changed = text.replace("  order-desk:\n    current: v1\n",
				"  order-desk:\n    current: v1\n    move: { to: v2, deadline: " + MOVE_SECONDS + "s }\n");
		apply("good move of order-desk to v2", Map.of("parameters/prairie-pantry", changed));
		Map<String, Object> move = awaitVerdict("order-desk", (MOVE_SECONDS + 10) * 1_000);
		checkGuarantee("done".equals(statusLabel(move)), "the good move ends done, it is " + statusLabel(move));
		long tookMillis = this.clock.millis() - start;
		checkGuarantee(tookMillis <= MOVE_SECONDS * 1_000, "the good move ends by its deadline");
		print("good move: %s after %.1f s: %s", statusLabel(move), tookMillis / MILLIS_PER_SECOND, move.get("reason"));
		reportLoad("load during the good move");
	}

	private void killLeader() {
		Map<String, Object> status = this.client.get("/v1/status").orElse(Map.of());
		String leader = String.valueOf(status.get("leader"));
		this.cluster.process(leader).kill();
		long start = this.clock.millis();
		boolean elected = await(START_LIMIT_MILLIS, () -> this.client.get("/v1/history?limit=1").isPresent());
		checkGuarantee(elected, "a new leader is elected after the death of the old one");
		print("killed the leader %s with SIGKILL; another one leads after %d ms", leader, this.clock.millis() - start);
	}

	private void badMove() {
		long start = this.clock.millis();
		String text = this.documents.get("parameters/mokoena");
		String changed = text.replace("  catalogue:\n    current: v1\n",
				"  catalogue:\n    current: v1\n    move: { to: v2, deadline: 60s }\n");
		apply("move of catalogue to the bad version v2", Map.of("parameters/mokoena", changed));
		Map<String, Object> move = awaitVerdict("catalogue", WITHDRAWAL_LIMIT_MILLIS);
		checkGuarantee("taken back".equals(statusLabel(move)),
				"the bad version is taken back, it is " + statusLabel(move));
		print("bad move: %s after %.1f s: %s, route %s, %s", statusLabel(move),
				(this.clock.millis() - start) / MILLIS_PER_SECOND, move.get("reason"), move.get("route"),
				move.get("figures"));
		LoadReport report = reportLoad("load during the bad move");
		long bad = report.answeredBy("catalogue", "v2");
		double share = (double) bad / Math.max(1, bad + report.answeredBy("catalogue", "v1"));
		checkGuarantee(share <= BAD_CALLS_LIMIT,
				String.format("at most 1%% of the calls meet the bad version, it is %.2f%%", 100 * share));
		pause(1_000);
		this.load.takeReport();
		pause(2_000);
		LoadReport after = reportLoad("load after the withdrawal");
		checkGuarantee(after.answeredBy("catalogue", "v2") == 0, "no call meets the withdrawn version");
	}

	private void restartKilledMember() {
		for (String id : this.cluster.ids(true)) {
			if (!this.cluster.process(id).isAlive()) {
				this.cluster.process(id).start();
				boolean recovered = await(START_LIMIT_MILLIS, () -> hasLatestVersion(id));
				checkGuarantee(recovered, "the killed control member comes back");
				print("restarted %s; it has every accepted version", id);
			}
		}
	}

	private boolean hasLatestVersion(String memberId) {
		String address = this.cluster.address(memberId) + ":" + ProcessCluster.HTTP_PORT;
		return this.client.get(address, "/v1/status")
			.map((status) -> ((Number) status.get("version")).longValue() >= this.version)
			.orElse(false);
	}

	private void apply(String title, Map<String, String> changedDocuments) {
		String changeId = "demo-" + this.version + "-" + title.replaceAll("[^a-z0-9]+", "-");
		long base = this.client.get("/v1/status")
			.map((status) -> ((Number) status.get("version")).longValue())
			.orElse(0L);
		OperatorClient.Outcome outcome = this.client.apply(changeId, base, changedDocuments, START_LIMIT_MILLIS);
		checkGuarantee(outcome.verdict() == ExecutionVerdict.RAN, title + " is accepted: " + outcome.reason());
		this.version = outcome.version();
		Optional<Long> converged = this.sampler.await(this.cluster.ids(false), this.version, CONVERGENCE_LIMIT_MILLIS);
		checkGuarantee(converged.isPresent(), title + " is in force on every node within 5 s");
		print("%s: accepted as version %d, in force on every node after %s ms", title, this.version,
				converged.map(String::valueOf).orElse("more than 5000"));
	}

	private Map<String, Object> awaitVerdict(String service, long timeoutMillis) {
		await(timeoutMillis, () -> !statusLabel(move(service)).isEmpty());
		return move(service);
	}

	private Map<String, Object> move(String service) {
		List<?> moves = this.client.get("/v1/moves").map((body) -> (List<?>) body.get("moves")).orElse(List.of());
		for (Object item : moves.reversed()) {
			@SuppressWarnings("unchecked")
			Map<String, Object> move = (Map<String, Object>) item;
			if (service.equals(move.get("service"))) {
				return move;
			}
		}
		return Map.of();
	}

	private static String statusLabel(Map<String, Object> move) {
		return switch (String.valueOf(move.get("status"))) {
			case "done" -> "done";
			case "taken-back" -> "taken back";
			default -> "";
		};
	}

	private int attachedNodes() {
		return this.client.get("/v1/status").map((status) -> ((Number) status.get("nodes")).intValue()).orElse(0);
	}

	private LoadReport reportLoad(String title) {
		LoadReport report = this.load.takeReport();
		print("%s: %s", title, report);
		return report;
	}

	private void reportResources() {
		String node = this.cluster.ids(false).getFirst();
		String member = this.cluster.ids(true).getLast();
		print("resident memory: node %s %d kB, control member %s %d kB", node,
				this.cluster.process(node).residentKilobytes().orElse(0), member,
				this.cluster.process(member).residentKilobytes().orElse(0));
		String admin = this.cluster.address(node) + ":" + ProcessCluster.ADMIN_PORT;
		Object distribution = this.client.get(admin, "/status").map((status) -> status.get("distribution")).orElse("");
		print("distribution of %s: %s", node, distribution);
	}

	private void checkHistory() {
		boolean complete = HistoryCollector.collect(this.cluster, this.client, this.load::keyOf, this.historyFile::add,
				this.clock);
		this.historyFile.close();
		checkGuarantee(complete, "the history of the control group can be read at the end");
		List<HistoryEvent> events = HistoryFile.read(this.historyPath);
		List<Violation> violations = HistoryChecker.check(events);
		violations.stream().limit(5).forEach((violation) -> print("%s", violation));
		checkGuarantee(violations.isEmpty(), violations.size() + " violations in the history");
		print("checked a history of %d events: %d violations", events.size(), violations.size());
	}

	private void keepRunning() {
		print("The deployment stays up; press Ctrl-C to end it. Try:");
		print("  export LAVENDERROAD_CONTROL=%s", this.cluster.controlAddresses());
		print("  bin/lavenderroad status");
		pause(Long.MAX_VALUE);
	}

	private void checkGuarantee(boolean held, String guarantee) {
		if (!held) {
			this.violatedGuarantees.add(guarantee);
			print("BROKEN: %s (logs in %s)", guarantee, this.folder.getFileName());
		}
	}

	private boolean await(long timeoutMillis, BooleanSupplier condition) {
		long start = this.clock.millis();
		while (this.clock.millis() - start < timeoutMillis) {
			if (condition.getAsBoolean()) {
				return true;
			}
			pause(50);
		}
		return false;
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new LavenderroadException("interrupted", ex);
		}
	}

	private static void print(String format, Object... arguments) {
		System.out.println("demo: " + String.format(format, arguments));
	}

	private static final class Options {

		@Parameter(names = "--keep", description = "Leave the deployment up")
		private boolean keep;

		@Parameter(names = "--home", description = "Folder of the built repository")
		private String home = ".";

		@Parameter(names = "--folder", description = "Folder for settings, data and logs")
		private String folder = "run";

		@Parameter(names = "--seed", description = "Seed of the load")
		private long seed = 1;

		@Parameter(names = "--help", help = true, description = "Print this help")
		private boolean help;

	}

}
