package io.lavenderroad.bench.scenario;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.lavenderroad.bench.cluster.OperatorClient;
import io.lavenderroad.bench.cluster.ProcessCluster;
import io.lavenderroad.bench.cluster.RunCollector;
import io.lavenderroad.bench.cluster.VersionSampler;
import io.lavenderroad.bench.history.HistoryChecker;
import io.lavenderroad.bench.history.HistoryEvent;
import io.lavenderroad.bench.history.HistoryFile;
import io.lavenderroad.bench.history.Violation;
import io.lavenderroad.bench.load.LoadGenerator;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.LavenderroadException;

/**
 * The running deployment of a scenario. Targets of steps are ids, {@code leader},
 * {@code follower}, {@code control}, {@code nodes}, {@code everything},
 * {@code domain NAME}, or {@code worker SERVICE VERSION}.
 */
public final class ScenarioRun implements AutoCloseable {

	private static final long START_LIMIT_SECONDS = 60;

	private static final long CHANGE_LIMIT_MILLIS = 30_000;

	private static final long POLL_MILLIS = 25;

	/**
	 * A leaving backend server gets no new work after this time.
	 */
	private static final long DRAIN_LIMIT_MILLIS = 3_000;

	private static final long OBSERVATION_MILLIS = 2_000;

	private static final double NANOS_PER_MILLI = 1e6;

	private final Scenario scenario;

	private final Path home;

	private final Clock clock = Clock.system();

	private final ProcessCluster cluster;

	private final Path historyPath;

	private final HistoryFile historyFile;

	private final OperatorClient client;

	private final VersionSampler sampler;

	private final LoadGenerator load;

	private final Map<String, OperatorClient.Outcome> outcomes = new TreeMap<>();

	private final Map<String, SentChange> sent = new TreeMap<>();

	private final Map<String, List<String>> workerIds = new TreeMap<>();

	private final Set<String> downNodes = new HashSet<>();

	private final AtomicLong answered = new AtomicLong();

	private String lastLeader = "";

	private ScenarioRun(Scenario scenario, Path home, Path folder) {
		this.scenario = scenario;
		this.home = home;
		this.cluster = new ProcessCluster("scenario", scenario.network(), home, folder, scenario.failureDomains());
		this.historyPath = folder.resolve("history.txt");
		this.historyFile = HistoryFile.create(this.historyPath);
		this.client = new OperatorClient(() -> List.of(this.cluster.controlAddresses().split(",")), this::record,
				this.clock);
		this.sampler = new VersionSampler(this.cluster, this.client, this::record, this.clock);
		this.load = new LoadGenerator(this::callerAddresses, scenario.calls(), Math.max(1, scenario.callsPerSecond()),
				this::record, this.clock, scenario.seed());
	}

	/**
	 * Starts the deployment of a scenario, runs its steps and checks the history.
	 * @param scenario the scenario
	 * @param home folder of the built repository
	 * @param folder folder for settings, data and logs
	 * @param report is told each step and each failure
	 * @return true if every expectation was met and no promise broke
	 */
	public static boolean run(Scenario scenario, Path home, Path folder, Consumer<String> report) {
		try (ScenarioRun run = new ScenarioRun(scenario, home, folder)) {
			run.start();
			for (Step step : scenario.steps()) {
				long start = System.nanoTime();
				try {
					step.action().run(run);
				}
				catch (LavenderroadException ex) {
					report.accept("  failed: " + step.location() + ": " + step.title() + ": " + ex.getMessage());
					return false;
				}
				report.accept(
						String.format("  %6.0f ms  %s", (System.nanoTime() - start) / NANOS_PER_MILLI, step.title()));
			}
			List<Violation> violations = run.finish();
			violations.stream().limit(5).forEach((violation) -> report.accept("  violation: " + violation));
			return violations.isEmpty();
		}
	}

	@Override
	public void close() {
		this.sampler.close();
		this.cluster.close();
		this.historyFile.close();
	}

	void apply(String id, String documents, String find, String put) {
		Map<String, String> texts = readDocuments(documents);
		if (!find.isEmpty()) {
			boolean found = texts.values().stream().anyMatch((text) -> text.contains(find));
			require(found, "'" + find + "' is in no document of " + documents);
			texts.replaceAll((name, text) -> text.replace(find, put));
		}
		send(id, new SentChange(version(), texts));
	}

	void resend(String id) {
		OperatorClient.Outcome first = this.outcomes.get(id);
		require(first != null, "change " + id + " was not sent before");
		SentChange change = this.sent.get(id);
		OperatorClient.Outcome again = this.client.apply(id, change.baseVersion(), change.documents(),
				CHANGE_LIMIT_MILLIS);
		require(again.verdict() == first.verdict() && again.version() == first.version(),
				"the resend was answered by " + again + ", the first one by " + first);
	}

	void race(int operators) {
		SentChange base = this.sent.values().stream().findFirst().orElseThrow();
		long baseVersion = version();
		List<Thread> threads = new ArrayList<>();
		Map<String, OperatorClient.Outcome> results = new ConcurrentHashMap<>();
		for (int operator = 1; operator <= operators; operator++) {
			String id = "race-" + baseVersion + "-" + operator;
			int queueLength = 20 + operator;
			threads.add(Thread.ofVirtual()
				.start(() -> results.put(id, this.client.apply(id, baseVersion,
						withQueueLength(base.documents(), queueLength), CHANGE_LIMIT_MILLIS))));
		}
		threads.forEach(ScenarioRun::join);
		this.outcomes.putAll(results);
		long winners = results.values().stream().filter((result) -> result.verdict() == ExecutionVerdict.RAN).count();
		require(winners == 1, winners + " of " + operators + " racing changes were accepted: " + results);
		String winner = results.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().verdict() == ExecutionVerdict.RAN)
			.findFirst()
			.orElseThrow()
			.getKey();
		results.forEach((id, result) -> require(id.equals(winner) || result.reason().contains(winner),
				"the refusal of " + id + " does not name the winner " + winner + ": " + result.reason()));
	}

	void makeChanges(int count) {
		SentChange base = this.sent.values().stream().findFirst().orElseThrow();
		for (int index = 0; index < count; index++) {
			String id = "series-" + this.sent.size();
			send(id, new SentChange(version(), withQueueLength(base.documents(), 12 + index % 100)));
		}
	}

	void kill(String target) {
		rememberLeader();
		ids(target).forEach((id) -> {
			this.cluster.process(id).kill();
			this.downNodes.add(id);
		});
	}

	void restart(String target) {
		for (String id : ids(target)) {
			if (!this.cluster.process(id).isAlive()) {
				this.cluster.process(id).start();
			}
			this.downNodes.remove(id);
		}
	}

	void stop(String target) {
		rememberLeader();
		for (String id : ids(target)) {
			this.downNodes.add(id);
			require(this.cluster.process(id).stop(), id + " did not stop gracefully");
		}
	}

	void pause(String target) {
		rememberLeader();
		ids(target).forEach((id) -> {
			this.cluster.process(id).pause();
			this.downNodes.add(id);
		});
	}

	void resume(String target) {
		ids(target).forEach((id) -> {
			this.cluster.process(id).resume();
			this.downNodes.remove(id);
		});
	}

	void cut(String target) {
		rememberLeader();
		ids(target).forEach(this.cluster::cutOff);
	}

	void silence(String target) {
		ids(target).forEach(this.cluster::silenceConnections);
	}

	void heal() {
		this.cluster.heal();
	}

	void drain(String target) {
		ids(target)
			.forEach((id) -> post("http://" + this.cluster.address(id) + ":" + ProcessCluster.ADMIN_PORT + "/drain"));
	}

	void behave(String target, String script) {
		ids(target).forEach((id) -> post("http://" + this.cluster.backendAddress(id) + "/script?" + script));
	}

	void replaceMember(String target) {
		String old = ids(target).getFirst();
		String spare = this.cluster.startSpareControlMember();
		String address = this.cluster.address(spare) + ":7400";
		awaitTrue(START_LIMIT_SECONDS, () -> changed("POST", "/v1/members", Map.of("id", spare, "address", address)),
				() -> "member " + spare + " was not added");
		awaitTrue(START_LIMIT_SECONDS, () -> changed("DELETE", "/v1/members/" + old, null),
				() -> "member " + old + " was not removed");
	}

	void expectInForce(String id, int seconds) {
		long version = this.outcomes.get(id).version();
		List<String> live = liveNodes();
		require(this.sampler.await(live, version, seconds * 1_000L).isPresent(),
				"version " + version + " is not in force on "
						+ live.stream().filter((node) -> this.sampler.version(node) < version).toList());
	}

	void expectAccepted(String id) {
		require(this.outcomes.get(id).verdict() == ExecutionVerdict.RAN, id + " ended as " + this.outcomes.get(id));
	}

	void expectRefused(String id) {
		require(this.outcomes.get(id).verdict() == ExecutionVerdict.NOT_RUN, id + " ended as " + this.outcomes.get(id));
	}

	void expectLeader(String expected, int seconds) {
		awaitTrue(seconds, () -> confirmedLeader().filter((leader) -> matches(expected, leader)).isPresent(),
				() -> "leader is " + confirmedLeader() + ", it was " + this.lastLeader);
	}

	void expectCurrent(String id, int seconds) {
		long version = version();
		String address = this.cluster.address(id) + ":" + ProcessCluster.HTTP_PORT;
		awaitTrue(seconds, () -> versionAt(address) >= version,
				() -> id + " has version " + versionAt(address) + " in place of " + version);
	}

	void expectMove(String service, String status, int seconds) {
		awaitTrue(seconds, () -> status.equals(moveStatus(service)),
				() -> "the move of " + service + " is " + moveStatus(service));
	}

	void expectNodes(int count, int seconds) {
		awaitTrue(seconds, () -> attachedNodes() == count, () -> attachedNodes() + " nodes are attached");
	}

	void expectAnswered(int count, int seconds) {
		long goal = this.answered.get() + count;
		awaitTrue(seconds, () -> this.answered.get() >= goal,
				() -> (this.answered.get() - goal + count) + " of " + count + " calls were answered as run");
	}

	void expectNoWork(String target) {
		sleep(DRAIN_LIMIT_MILLIS);
		long before = started(target);
		sleep(OBSERVATION_MILLIS);
		long after = started(target);
		require(after == before, target + " got " + (after - before) + " requests after " + DRAIN_LIMIT_MILLIS + " ms");
	}

	private void start() {
		this.cluster.startControl(this.scenario.controlMembers());
		int count = 0;
		for (Scenario.WorkerGroup group : this.scenario.workers()) {
			List<String> behaviour = new ArrayList<>();
			group.behaviour().forEach((value) -> behaviour.addAll(List.of("--set", value)));
			for (int index = 0; index < group.count(); index++) {
				String id = this.cluster.startWorker(group.service(), group.version(), group.slots(), behaviour);
				this.workerIds.computeIfAbsent(group.service() + " " + group.version(), (key) -> new ArrayList<>())
					.add(id);
				count++;
			}
		}
		int expected = count;
		awaitTrue(START_LIMIT_SECONDS, () -> attachedNodes() == expected,
				() -> attachedNodes() + " of " + expected + " nodes attached");
		this.sampler.watchAll();
		if (this.scenario.callsPerSecond() > 0) {
			this.load.start();
		}
	}

	private List<Violation> finish() {
		if (this.scenario.callsPerSecond() > 0) {
			this.load.close();
		}
		this.sampler.close();
		boolean complete = RunCollector.collect(this.cluster, this.client, this.load::keyOf, this::record, this.clock);
		this.historyFile.close();
		require(complete, "the history of the control group cannot be read");
		return HistoryChecker.check(HistoryFile.read(this.historyPath));
	}

	private void record(HistoryEvent event) {
		if (event instanceof HistoryEvent.CallAnswered answer && answer.verdict() == ExecutionVerdict.RAN) {
			this.answered.incrementAndGet();
		}
		this.historyFile.add(event);
	}

	private void send(String id, SentChange change) {
		this.sent.put(id, change);
		this.outcomes.put(id, this.client.apply(id, change.baseVersion(), change.documents(), CHANGE_LIMIT_MILLIS));
	}

	private Map<String, String> readDocuments(String folder) {
		Map<String, String> texts = new TreeMap<>();
		for (String name : List.of("template", "parameters")) {
			try {
				texts.put(Path.of(folder).getFileName() + "/" + name,
						Files.readString(this.home.resolve(folder).resolve(name + ".yml")));
			}
			catch (IOException ex) {
				throw new LavenderroadException("cannot read the documents in " + folder, ex);
			}
		}
		return texts;
	}

	private static Map<String, String> withQueueLength(Map<String, String> documents, int queueLength) {
		Map<String, String> changed = new TreeMap<>(documents);
		changed.replaceAll((name, text) -> name.endsWith("parameters")
				? text.replaceAll("queue-length: [0-9]+", "queue-length: " + queueLength) : text);
		return changed;
	}

	private List<String> ids(String target) {
		String[] words = target.split(" ");
		return switch (words[0]) {
			case "leader" -> List.of(awaitLeader());
			case "follower" -> List.of(follower());
			case "control" -> this.cluster.ids(true);
			case "nodes" -> this.cluster.ids(false);
			case "everything" -> {
				List<String> all = new ArrayList<>(this.cluster.ids(true));
				all.addAll(this.cluster.ids(false));
				yield all;
			}
			case "domain" -> this.cluster.ids(false).stream().filter((id) -> id.startsWith(words[1] + "-")).toList();
			case "worker" -> this.workerIds.getOrDefault(words[1] + " " + words[2], List.of());
			case "last-leader" -> List.of(this.lastLeader);
			default -> List.of(target);
		};
	}

	private String follower() {
		String leader = awaitLeader();
		return this.cluster.ids(true).stream().filter((id) -> !id.equals(leader)).findFirst().orElseThrow();
	}

	private void rememberLeader() {
		confirmedLeader().ifPresent((leader) -> this.lastLeader = leader);
	}

	private String awaitLeader() {
		awaitTrue(START_LIMIT_SECONDS, () -> confirmedLeader().isPresent(), () -> "no leader");
		return confirmedLeader().orElseThrow();
	}

	private boolean matches(String expected, String leader) {
		return switch (expected) {
			case "any" -> true;
			case "another" -> !leader.equals(this.lastLeader);
			case "same" -> leader.equals(this.lastLeader);
			default -> leader.equals(expected);
		};
	}

	private Optional<String> confirmedLeader() {
		// Only a leader that has just been confirmed by a quorum answers this read.
		return this.cluster.ids(true)
			.stream()
			.filter((id) -> this.client
				.get(this.cluster.address(id) + ":" + ProcessCluster.HTTP_PORT, "/v1/history?limit=0")
				.isPresent())
			.findFirst();
	}

	private long version() {
		return this.cluster.ids(true)
			.stream()
			.mapToLong((id) -> versionAt(this.cluster.address(id) + ":" + ProcessCluster.HTTP_PORT))
			.max()
			.orElse(0);
	}

	private long versionAt(String address) {
		return this.client.get(address, "/v1/status")
			.map((status) -> ((Number) status.get("version")).longValue())
			.orElse(-1L);
	}

	private int attachedNodes() {
		return this.client.get("/v1/status").map((status) -> ((Number) status.get("nodes")).intValue()).orElse(0);
	}

	private String moveStatus(String service) {
		List<?> moves = this.client.get("/v1/moves").map((body) -> (List<?>) body.get("moves")).orElse(List.of());
		return moves.stream()
			.map((item) -> (Map<?, ?>) item)
			.filter((move) -> service.equals(move.get("service")))
			.map((move) -> String.valueOf(move.get("status")))
			.reduce((first, last) -> last)
			.orElse("absent");
	}

	private long started(String target) {
		return ids(target).stream()
			.mapToLong((id) -> this.client.get(this.cluster.backendAddress(id), "/record")
				.map((record) -> ((Number) record.get("started")).longValue())
				.orElse(0L))
			.sum();
	}

	private boolean changed(String method, String path, Map<String, Object> body) {
		return this.client.change(method, path, body).filter((answer) -> answer.status() == 200).isPresent();
	}

	private List<String> liveNodes() {
		return this.cluster.ids(false).stream().filter((id) -> !this.downNodes.contains(id)).toList();
	}

	private List<String> callerAddresses() {
		List<String> addresses = liveNodes().stream().map(this.cluster::callerAddress).toList();
		return addresses.isEmpty() ? this.cluster.ids(false).stream().map(this.cluster::callerAddress).toList()
				: addresses;
	}

	private void awaitTrue(long seconds, BooleanSupplier condition, Supplier<String> failure) {
		long end = this.clock.millis() + seconds * 1_000;
		while (!condition.getAsBoolean()) {
			require(this.clock.millis() < end, failure.get() + " after " + seconds + " s");
			sleep(POLL_MILLIS);
		}
	}

	private static void post(String uri) {
		try (HttpClient http = HttpClient.newHttpClient()) {
			HttpResponse<String> response = http.send(
					HttpRequest.newBuilder(URI.create(uri)).POST(HttpRequest.BodyPublishers.noBody()).build(),
					HttpResponse.BodyHandlers.ofString());
			require(response.statusCode() < 300, uri + " answered " + response.statusCode());
		}
		catch (IOException ex) {
			throw new ScenarioFailure(uri + " failed: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void require(boolean condition, String failure) {
		if (!condition) {
			throw new ScenarioFailure(failure);
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new ScenarioFailure("interrupted");
		}
	}

	private static void join(Thread thread) {
		try {
			thread.join();
		}
		catch (InterruptedException ex) {
			throw new ScenarioFailure("interrupted");
		}
	}

	private record SentChange(long baseVersion, Map<String, String> documents) {

	}

}
