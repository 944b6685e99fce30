package io.lavenderroad.bench.scenario;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.lavenderroad.bench.cluster.HistoryCollector;
import io.lavenderroad.bench.cluster.OperatorClient;
import io.lavenderroad.bench.cluster.ProcessCluster;
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
 * The running deployment of a scenario. Targets of steps are ids of daemons,
 * {@code leader}, {@code follower}, {@code control}, {@code nodes}, {@code everything},
 * {@code domain NAME}, {@code worker SERVICE VERSION}, {@code last-leader} for the leader
 * before the last injected fault, or {@code last} for the targets of the last injected
 * fault.
 */
public final class ScenarioRun implements AutoCloseable {

	private static final long START_LIMIT_SECONDS = 60;

	private static final long CHANGE_LIMIT_MILLIS = 30_000;

	private static final long POLL_MILLIS = 25;

	/**
	 * Time after which a draining backend server must get no new work.
	 */
	private static final long DRAIN_LIMIT_MILLIS = 3_000;

	private static final long OBSERVATION_MILLIS = 2_000;

	/**
	 * Longest time until a call is answered: both attempts of the load generator with
	 * their timeouts.
	 */
	private static final long ANSWER_LIMIT_SECONDS = 25;

	/**
	 * Time limit for recovery from the faults of one round of chaos.
	 */
	private static final int CHAOS_LIMIT_SECONDS = 30;

	private static final int MINIMUM_QUEUE_LENGTH = 37;

	private static final int QUEUE_LENGTH_COUNT = 160;

	private static final int UNAVAILABLE = 503;

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

	private final Map<String, SentChange> sentChanges = new TreeMap<>();

	private final Map<String, List<String>> workerIds = new TreeMap<>();

	private final Set<String> unavailableNodes = ConcurrentHashMap.newKeySet();

	private final AtomicLong answered = new AtomicLong();

	private final Set<String> pendingCalls = ConcurrentHashMap.newKeySet();

	private final Map<ExecutionVerdict, Long> verdicts = new ConcurrentHashMap<>();

	private long brokenAtMark;

	private Map<ExecutionVerdict, Long> verdictsAtMark = Map.of();

	private final Map<String, Long> startsAtMark = new TreeMap<>();

	/**
	 * Digests of the mesh configuration by version. Versions that were superseded between
	 * two reads are missing.
	 */
	private final Map<Long, String> digests = new ConcurrentHashMap<>();

	private Thread digestReader;

	private List<String> lastFaultTargets = List.of();

	/**
	 * Number of edits so far. Successive edits set different queue lengths, since a
	 * change without effect is accepted without a new version.
	 */
	private int edits;

	private int faults;

	private int comparedReports;

	private String lastLeader = "";

	private long lastTerm;

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
	 * Starts the deployment of a scenario, runs its steps and checks the recorded
	 * history.
	 * @param scenario the scenario
	 * @param home folder of the built repository
	 * @param folder folder for settings, data and logs
	 * @param report receives one line for each step and each failure
	 * @return true if every expectation was met and the history has no violations
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
			report.accept(String.format(
					"  %s, %d cut off, %d changes, %d faults, %d reports compared by digest, %d violations",
					run.verdicts, run.load.brokenCalls(), run.edits, run.faults, run.comparedReports,
					violations.size()));
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
		SentChange change = this.sentChanges.get(id);
		OperatorClient.Outcome again = this.client.apply(id, change.baseVersion(), change.documents(),
				CHANGE_LIMIT_MILLIS);
		require(again.verdict() == first.verdict() && again.version() == first.version(),
				"the resend was answered by " + again + ", the first one by " + first);
	}

	void race(int operators) {
		SentChange base = this.sentChanges.values().stream().findFirst().orElseThrow();
		long baseVersion = version();
		List<Thread> threads = new ArrayList<>();
		Map<String, OperatorClient.Outcome> results = new ConcurrentHashMap<>();
		for (int operator = 1; operator <= operators; operator++) {
			String id = "race-" + baseVersion + "-" + operator;
			int queueLength = nextQueueLength();
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
		SentChange base = this.sentChanges.values().stream().findFirst().orElseThrow();
		for (int index = 0; index < count; index++) {
			String id = "series-" + this.sentChanges.size();
			send(id, new SentChange(version(), withQueueLength(base.documents(), nextQueueLength())));
		}
	}

	void mark() {
		this.brokenAtMark = this.load.brokenCalls();
		this.verdictsAtMark = Map.copyOf(this.verdicts);
		this.workerIds.keySet().forEach((workers) -> this.startsAtMark.put(workers, started("worker " + workers)));
	}

	// In each round, injects a fault into a random control member and a random node,
	// changes the configuration meanwhile, ends the faults and waits for recovery.
	void chaos(int seed, int seconds) {
		Random random = new Random(seed);
		long end = this.clock.millis() + seconds * 1_000L;
		while (this.clock.millis() < end) {
			List<String> targets = List.of(randomDaemon(random, true), randomDaemon(random, false));
			targets.forEach((id) -> injectFault(random.nextInt(4), id));
			makeChanges(1 + random.nextInt(3));
			expectAnswered(20, CHAOS_LIMIT_SECONDS);
			heal();
			targets.forEach((id) -> {
				resume(id);
				restart(id);
			});
			makeChanges(1);
			expectActive("latest", CHAOS_LIMIT_SECONDS);
			expectCurrent(targets.getFirst(), CHAOS_LIMIT_SECONDS);
		}
	}

	private void injectFault(int kind, String id) {
		switch (kind) {
			case 0 -> kill(id);
			case 1 -> pause(id);
			case 2 -> cut(id);
			default -> silence(id);
		}
	}

	private String randomDaemon(Random random, boolean control) {
		List<String> ids = this.cluster.ids(control);
		return ids.get(random.nextInt(ids.size()));
	}

	void kill(String target) {
		selectFaultTargets(target).forEach((id) -> {
			this.unavailableNodes.add(id);
			this.cluster.process(id).kill();
			this.sampler.clearSample(id);
		});
	}

	void restart(String target) {
		for (String id : ids(target)) {
			if (!this.cluster.process(id).isAlive()) {
				this.cluster.process(id).start();
			}
			this.unavailableNodes.remove(id);
		}
	}

	void stop(String target) {
		List<String> stopped = selectFaultTargets(target);
		this.unavailableNodes.addAll(stopped);
		for (String id : stopped) {
			require(this.cluster.process(id).stop(), id + " did not stop gracefully");
			this.sampler.clearSample(id);
		}
	}

	void pause(String target) {
		selectFaultTargets(target).forEach((id) -> {
			this.cluster.process(id).pause();
			this.unavailableNodes.add(id);
		});
	}

	void resume(String target) {
		ids(target).forEach((id) -> {
			this.cluster.process(id).resume();
			this.unavailableNodes.remove(id);
		});
	}

	void cut(String target) {
		selectFaultTargets(target).forEach(this.cluster::cutOff);
	}

	void silence(String target) {
		selectFaultTargets(target).forEach(this.cluster::silenceConnections);
	}

	void heal() {
		this.cluster.heal();
	}

	void drain(String target) {
		List<String> drained = selectFaultTargets(target);
		this.unavailableNodes.addAll(drained);
		drained
			.forEach((id) -> post("http://" + this.cluster.address(id) + ":" + ProcessCluster.ADMIN_PORT + "/drain"));
	}

	void behave(String target, String script) {
		ids(target).forEach((id) -> post("http://" + this.cluster.backendAddress(id) + "/script?" + script));
	}

	void replaceMember(String target) {
		String old = ids(target).getFirst();
		String added = this.cluster.startAdditionalControlMember();
		String address = this.cluster.address(added) + ":7400";
		awaitCondition(START_LIMIT_SECONDS,
				() -> changeSucceeds("POST", "/v1/members", Map.of("id", added, "address", address)),
				() -> "member " + added + " was not added");
		awaitCondition(START_LIMIT_SECONDS, () -> changeSucceeds("DELETE", "/v1/members/" + old, null),
				() -> "member " + old + " was not removed");
	}

	void expectActive(String id, int seconds) {
		long version = id.equals("latest") ? latestAccepted() : acceptedVersion(id);
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
		awaitCondition(seconds, () -> confirmedLeader().filter((leader) -> matchesLeader(expected, leader)).isPresent(),
				() -> "leader is " + confirmedLeader() + " in term " + confirmedLeader().map(this::term) + ", it was "
						+ this.lastLeader + " in term " + this.lastTerm);
	}

	void expectCurrent(String id, int seconds) {
		long version = version();
		ids(id).forEach((member) -> expectCurrent(member, version, seconds));
	}

	private void expectCurrent(String id, long version, int seconds) {
		String address = this.cluster.address(id) + ":" + ProcessCluster.HTTP_PORT;
		awaitCondition(seconds, () -> versionAt(address) >= version,
				() -> id + " has version " + versionAt(address) + " in place of " + version);
	}

	void expectMove(String service, String status, int seconds) {
		awaitCondition(seconds, () -> status.equals(moveStatus(service)),
				() -> "the move of " + service + " is " + moveStatus(service));
	}

	void expectNodes(int count, int seconds) {
		awaitCondition(seconds, () -> attachedNodes() == count, () -> attachedNodes() + " nodes are attached");
	}

	void expectAnswered(int count, int seconds) {
		long targetCount = this.answered.get() + count;
		awaitCondition(seconds, () -> this.answered.get() >= targetCount,
				() -> (this.answered.get() - targetCount + count) + " of " + count + " calls were answered as run");
	}

	void expectServing(String target, int seconds) {
		ids(target).forEach((id) -> {
			String address = this.cluster.address(id) + ":" + ProcessCluster.ADMIN_PORT;
			awaitCondition(seconds, () -> this.client.get(address, "/health").isPresent(),
					() -> id + " does not serve");
		});
	}

	void expectRefusing(String target, int seconds) {
		Scenario.WorkerGroup group = this.scenario.workers().getFirst();
		ids(target).forEach((id) -> awaitCondition(seconds, () -> refuses(id, group.service()),
				() -> id + " does not refuse calls as not run"));
	}

	void expectEnded(String target, int seconds) {
		ids(target).forEach((id) -> {
			awaitCondition(seconds, () -> !this.cluster.process(id).isAlive(), () -> id + " still runs");
			this.sampler.clearSample(id);
		});
	}

	void expectStarted(String workers, int count, int seconds) {
		awaitCondition(seconds, () -> started(workers) >= count,
				() -> workers + " started " + started(workers) + " of " + count + " requests");
	}

	// Compares the requests that a version started since the mark with those of all
	// versions of the service.
	void expectMaximumPercent(String workers, int percent) {
		String service = workers.split(" ")[1];
		Map<String, Long> starts = new TreeMap<>();
		this.workerIds.keySet()
			.stream()
			.filter((key) -> key.startsWith(service + " "))
			.forEach((key) -> starts.put("worker " + key,
					started("worker " + key) - this.startsAtMark.getOrDefault(key, 0L)));
		long all = starts.values().stream().mapToLong(Long::longValue).sum();
		require(starts.get(workers) * 100 <= all * percent,
				"the requests by version are " + starts + ", the limit is " + percent + "%");
	}

	// Counts the calls since the mark after all calls sent so far are answered.
	void expectMaximum(ExecutionVerdict verdict, int count) {
		awaitAnswers();
		long found = this.verdicts.getOrDefault(verdict, 0L) - this.verdictsAtMark.getOrDefault(verdict, 0L);
		require(found <= count,
				found + " calls ended as " + verdict.label() + " since the mark, the limit is " + count);
	}

	void expectMaximumBroken(int count) {
		awaitAnswers();
		long found = this.load.brokenCalls() - this.brokenAtMark;
		require(found <= count, found + " calls were cut off since the mark, the limit is " + count);
	}

	private void awaitAnswers() {
		Set<String> earlierCalls = Set.copyOf(this.pendingCalls);
		awaitCondition(ANSWER_LIMIT_SECONDS, () -> earlierCalls.stream().noneMatch(this.pendingCalls::contains),
				() -> "calls have no answer");
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
		awaitCondition(START_LIMIT_SECONDS, () -> attachedNodes() == expected,
				() -> attachedNodes() + " of " + expected + " nodes attached");
		this.sampler.watchAll();
		this.digestReader = Thread.ofVirtual().start(this::readDigests);
		if (this.scenario.callsPerSecond() > 0) {
			this.load.start();
		}
	}

	private List<Violation> finish() {
		if (this.scenario.callsPerSecond() > 0) {
			this.load.close();
		}
		this.sampler.close();
		this.digestReader.interrupt();
		boolean complete = HistoryCollector.collect(this.cluster, this.client, this.load::keyOf, this::record,
				this.clock);
		this.historyFile.close();
		require(complete, "the history of the control group cannot be read");
		return HistoryChecker.check(HistoryFile.read(this.historyPath).stream().map(this::withExpectedDigest).toList());
	}

	private HistoryEvent withExpectedDigest(HistoryEvent event) {
		if (event instanceof HistoryEvent.VersionInForce report && this.digests.containsKey(report.version())) {
			this.comparedReports++;
			return new HistoryEvent.VersionInForce(report.millis(), report.nodeId(), report.version(),
					report.missingResources(), report.digest(), this.digests.get(report.version()));
		}
		return event;
	}

	// Reads the digest of each configuration from the leader. Digests are comparable only
	// if the slice of a node is the whole configuration, that is, if every service is
	// open to external callers. Other configurations are skipped.
	private void readDigests() {
		while (!Thread.currentThread().isInterrupted()) {
			this.client.get("/v1/configuration").ifPresent((configuration) -> {
				boolean allOpen = ((List<?>) configuration.get("services")).stream()
					.allMatch((service) -> Boolean.TRUE.equals(((Map<?, ?>) service).get("openToCallers")));
				if (allOpen) {
					this.digests.put(((Number) configuration.get("version")).longValue(),
							String.valueOf(configuration.get("digest")));
				}
			});
			try {
				Thread.sleep(POLL_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void record(HistoryEvent event) {
		if (event instanceof HistoryEvent.CallSent call) {
			this.pendingCalls.add(call.callId());
		}
		if (event instanceof HistoryEvent.CallAnswered answer) {
			this.verdicts.merge(answer.verdict(), 1L, Long::sum);
			this.pendingCalls.remove(answer.callId());
			if (answer.verdict() == ExecutionVerdict.RAN) {
				this.answered.incrementAndGet();
			}
		}
		this.historyFile.add(event);
	}

	private void send(String id, SentChange change) {
		this.sentChanges.put(id, change);
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

	private int nextQueueLength() {
		return MINIMUM_QUEUE_LENGTH + this.edits++ % QUEUE_LENGTH_COUNT;
	}

	private static Map<String, String> withQueueLength(Map<String, String> documents, int queueLength) {
		Map<String, String> changed = new TreeMap<>(documents);
		changed.replaceAll((name, text) -> name.endsWith("parameters")
				? text.replaceAll("queue-length: [0-9]+", "queue-length: " + queueLength) : text);
		return changed;
	}

	private long acceptedVersion(String id) {
		OperatorClient.Outcome outcome = this.outcomes.get(id);
		require(outcome != null && outcome.verdict() == ExecutionVerdict.RAN, id + " ended as " + outcome);
		return outcome.version();
	}

	private long latestAccepted() {
		return this.outcomes.values().stream().mapToLong(OperatorClient.Outcome::version).max().orElse(0);
	}

	private boolean refuses(String id, String service) {
		try (HttpClient http = HttpClient.newHttpClient()) {
			HttpRequest request = HttpRequest
				.newBuilder(URI.create("http://" + this.cluster.callerAddress(id) + "/items"))
				.header("Mesh-Service", service)
				.build();
			HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
			return response.statusCode() == UNAVAILABLE && response.headers()
				.firstValue("Mesh-Verdict")
				.filter(ExecutionVerdict.NOT_RUN.label()::equals)
				.isPresent();
		}
		catch (IOException ex) {
			return false;
		}
		catch (InterruptedException ex) {
			throw new ScenarioFailure("interrupted");
		}
	}

	private List<String> selectFaultTargets(String target) {
		recordLeader();
		List<String> targets = ids(target);
		this.lastFaultTargets = targets;
		this.faults += targets.size();
		return targets;
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
			case "last" -> this.lastFaultTargets;
			case "last-leader" -> List.of(this.lastLeader);
			default -> List.of(target);
		};
	}

	private String follower() {
		String leader = awaitLeader();
		return this.cluster.ids(true).stream().filter((id) -> !id.equals(leader)).findFirst().orElseThrow();
	}

	private void recordLeader() {
		confirmedLeader().ifPresent((leader) -> {
			this.lastLeader = leader;
			this.lastTerm = term(leader);
		});
	}

	private String awaitLeader() {
		awaitCondition(START_LIMIT_SECONDS, () -> confirmedLeader().isPresent(), () -> "no leader");
		return confirmedLeader().orElseThrow();
	}

	private boolean matchesLeader(String expected, String leader) {
		return switch (expected) {
			case "any" -> true;
			case "another" -> !leader.equals(this.lastLeader);
			// A higher term shows that the leader lost its leadership meanwhile, even
			// if it won the next election.
			case "same" -> leader.equals(this.lastLeader) && term(leader) == this.lastTerm;
			default -> leader.equals(expected);
		};
	}

	private Optional<String> confirmedLeader() {
		// Only a leader that a quorum has just confirmed answers this read.
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

	private long term(String id) {
		return this.client.get(this.cluster.address(id) + ":" + ProcessCluster.HTTP_PORT, "/v1/status")
			.map((status) -> ((Number) status.get("term")).longValue())
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

	private boolean changeSucceeds(String method, String path, Map<String, Object> body) {
		return this.client.change(method, path, body).filter((answer) -> answer.status() == 200).isPresent();
	}

	private List<String> liveNodes() {
		return this.cluster.ids(false).stream().filter((id) -> !this.unavailableNodes.contains(id)).toList();
	}

	private List<String> callerAddresses() {
		List<String> addresses = liveNodes().stream().map(this.cluster::callerAddress).toList();
		return addresses.isEmpty() ? this.cluster.ids(false).stream().map(this.cluster::callerAddress).toList()
				: addresses;
	}

	private void awaitCondition(long seconds, BooleanSupplier condition, Supplier<String> failure) {
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
