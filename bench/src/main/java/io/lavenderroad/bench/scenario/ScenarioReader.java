package io.lavenderroad.bench.scenario;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Pattern;

import io.lavenderroad.bench.load.CallKind;
import io.lavenderroad.bench.scenario.Scenario.WorkerGroup;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.Problem;
import io.lavenderroad.core.settings.YamlDocument;
import io.lavenderroad.core.settings.YamlNode;
import io.vavr.collection.Seq;
import io.vavr.control.Either;

/**
 * Reads scenarios from YAML. Each step is a mapping whose first key is its verb.
 */
public final class ScenarioReader {

	private static final Pattern TEXT = Pattern.compile("(?s).{1,2000}");

	private static final int DEFAULT_LIMIT_SECONDS = 30;

	private static final Map<String, Function<YamlNode, Step.Action>> VERBS = verbs();

	private ScenarioReader() {
	}

	/**
	 * Reads a scenario.
	 * @param file the file
	 * @return the scenario, or all problems
	 */
	public static Either<Seq<Problem>, Scenario> readFile(Path file) {
		return YamlDocument.readFile(file, ScenarioReader::bind);
	}

	/**
	 * Reads a scenario from a text.
	 * @param source name of the source
	 * @param text the document
	 * @return the scenario, or all problems
	 */
	public static Either<Seq<Problem>, Scenario> read(String source, String text) {
		return YamlDocument.read(source, text, ScenarioReader::bind);
	}

	private static Scenario bind(YamlNode root) {
		YamlNode load = root.child("load");
		List<Step> steps = new ArrayList<>();
		root.child("steps").items().forEach((item) -> steps.add(step(item)));
		// The recorded run without the mechanism under test is documentation only.
		root.child("without-mechanism").text();
		Scenario scenario = new Scenario(text(root.child("name")),
				root.child("network").integer(2, 250, OptionalInt.empty()),
				root.child("failure-domains").items().stream().map(ScenarioReader::text).toList(),
				root.child("control").integer(1, 7, OptionalInt.of(3)),
				root.child("workers").items().stream().map(ScenarioReader::workers).toList(),
				load.child("calls").items().stream().map(ScenarioReader::call).toList(),
				load.child("calls-per-second").integer(0, 10_000, OptionalInt.of(0)),
				load.child("seed").integer(0, 1_000_000, OptionalInt.of(1)), steps);
		load.rejectUnknownKeys();
		root.rejectUnknownKeys();
		return scenario;
	}

	private static WorkerGroup workers(YamlNode node) {
		WorkerGroup group = new WorkerGroup(text(node.child("service")), text(node.child("version")),
				node.child("count").integer(1, 200, OptionalInt.of(1)),
				node.child("slots").integer(1, 1_000, OptionalInt.of(12)),
				node.child("behaviour").items().stream().map(ScenarioReader::text).toList());
		node.rejectUnknownKeys();
		return group;
	}

	private static CallKind call(YamlNode node) {
		CallKind kind = new CallKind(text(node.child("service")), text(node.child("method")), text(node.child("path")),
				node.child("idempotent").booleanValue(false),
				node.child("weight").integer(1, 1_000, OptionalInt.of(1)));
		node.rejectUnknownKeys();
		return kind;
	}

	private static Step step(YamlNode node) {
		String verb = node.keys().stream().findFirst().orElse("");
		Function<YamlNode, Step.Action> reader = VERBS.get(verb);
		if (reader == null) {
			node.addProblem("step '" + verb + "'", "one of " + String.join(", ", VERBS.keySet()));
			return new Step(verb, node.location(), (run) -> {
			});
		}
		YamlNode value = node.child(verb);
		Step step = new Step(verb + " " + title(value), value.location(), reader.apply(value));
		node.rejectUnknownKeys();
		return step;
	}

	private static String title(YamlNode value) {
		if (!value.isMapping()) {
			return value.describe();
		}
		List<String> parts = new ArrayList<>();
		value.keys().forEach((key) -> parts.add(key + " " + value.child(key).describe()));
		return String.join(", ", parts);
	}

	private static Map<String, Function<YamlNode, Step.Action>> verbs() {
		Map<String, Function<YamlNode, Step.Action>> verbs = new TreeMap<>();
		verbs.put("apply", ScenarioReader::apply);
		verbs.put("resend", textVerb(ScenarioRun::resend));
		verbs.put("race", numberVerb(ScenarioRun::race));
		verbs.put("changes", numberVerb(ScenarioRun::makeChanges));
		verbs.put("kill", textVerb(ScenarioRun::kill));
		verbs.put("restart", textVerb(ScenarioRun::restart));
		verbs.put("stop", textVerb(ScenarioRun::stop));
		verbs.put("pause", textVerb(ScenarioRun::pause));
		verbs.put("resume", textVerb(ScenarioRun::resume));
		verbs.put("cut", textVerb(ScenarioRun::cut));
		verbs.put("silence", textVerb(ScenarioRun::silence));
		verbs.put("heal", textVerb((run, text) -> run.heal()));
		verbs.put("drain", textVerb(ScenarioRun::drain));
		verbs.put("behave", ScenarioReader::behave);
		verbs.put("mark", textVerb((run, text) -> run.mark()));
		verbs.put("chaos", ScenarioReader::chaos);
		verbs.put("replace-member", textVerb(ScenarioRun::replaceMember));
		verbs.put("expect", ScenarioReader::expect);
		return verbs;
	}

	private static Step.Action apply(YamlNode node) {
		String id = text(node.child("id"));
		String documents = text(node.child("documents"));
		boolean edits = node.child("find").isPresent();
		String find = edits ? text(node.child("find")) : "";
		String put = edits ? text(node.child("put")) : "";
		node.rejectUnknownKeys();
		return (run) -> run.apply(id, documents, find, put);
	}

	private static Step.Action behave(YamlNode node) {
		String target = text(node.child("target"));
		String script = text(node.child("script"));
		node.rejectUnknownKeys();
		return (run) -> run.behave(target, script);
	}

	private static Step.Action chaos(YamlNode node) {
		int seed = node.child("seed").integer(0, 1_000_000, OptionalInt.empty());
		int seconds = node.child("seconds").integer(1, 600, OptionalInt.empty());
		node.rejectUnknownKeys();
		return (run) -> run.chaos(seed, seconds);
	}

	private static Step.Action expect(YamlNode node) {
		int seconds = node.child("within-seconds").integer(1, 600, OptionalInt.of(DEFAULT_LIMIT_SECONDS));
		List<Step.Action> expectations = new ArrayList<>();
		expectText(node, "in-force", expectations, (run, id) -> run.expectActive(id, seconds));
		expectText(node, "accepted", expectations, (run, id) -> run.expectAccepted(id));
		expectText(node, "refused", expectations, (run, id) -> run.expectRefused(id));
		expectText(node, "leader", expectations, (run, text) -> run.expectLeader(text, seconds));
		expectText(node, "current", expectations, (run, id) -> run.expectCurrent(id, seconds));
		expectText(node, "done", expectations, (run, service) -> run.expectMove(service, "done", seconds));
		expectText(node, "taken-back", expectations, (run, service) -> run.expectMove(service, "taken-back", seconds));
		expectText(node, "no-work", expectations, (run, target) -> run.expectNoWork(target));
		expectText(node, "serving", expectations, (run, target) -> run.expectServing(target, seconds));
		expectText(node, "refusing", expectations, (run, target) -> run.expectRefusing(target, seconds));
		expectText(node, "ended", expectations, (run, target) -> run.expectEnded(target, seconds));
		expectWorkers(node, "started", expectations,
				(run, workers, count) -> run.expectStarted(workers, count, seconds));
		expectWorkers(node, "most-percent", expectations, ScenarioRun::expectMaximumPercent);
		expectMaximum(node, "most-unknown", ExecutionVerdict.MAY_HAVE_RUN, expectations);
		expectMaximum(node, "most-refused", ExecutionVerdict.NOT_RUN, expectations);
		if (node.child("most-broken").isPresent()) {
			int count = node.child("most-broken").integer(0, 1_000_000, OptionalInt.empty());
			expectations.add((run) -> run.expectMaximumBroken(count));
		}
		if (node.child("nodes").isPresent()) {
			int count = node.child("nodes").integer(0, 1_000, OptionalInt.empty());
			expectations.add((run) -> run.expectNodes(count, seconds));
		}
		if (node.child("answered").isPresent()) {
			int count = node.child("answered").integer(1, 1_000_000, OptionalInt.empty());
			expectations.add((run) -> run.expectAnswered(count, seconds));
		}
		node.rejectUnknownKeys();
		if (expectations.isEmpty()) {
			node.addProblem("nothing to expect", "an expectation");
		}
		return (run) -> expectations.forEach((expectation) -> expectation.run(run));
	}

	private static void expectText(YamlNode node, String key, List<Step.Action> expectations, TextAction action) {
		YamlNode value = node.child(key);
		if (value.isPresent()) {
			String text = text(value);
			expectations.add((run) -> action.run(run, text));
		}
	}

	private static void expectWorkers(YamlNode node, String key, List<Step.Action> expectations, WorkersAction action) {
		YamlNode value = node.child(key);
		if (value.isPresent()) {
			String workers = "worker " + text(value.child("service")) + " " + text(value.child("version"));
			int count = value.child("count").integer(0, 1_000_000, OptionalInt.empty());
			value.rejectUnknownKeys();
			expectations.add((run) -> action.run(run, workers, count));
		}
	}

	private static void expectMaximum(YamlNode node, String key, ExecutionVerdict verdict,
			List<Step.Action> expectations) {
		YamlNode value = node.child(key);
		if (value.isPresent()) {
			int count = value.integer(0, 1_000_000, OptionalInt.empty());
			expectations.add((run) -> run.expectMaximum(verdict, count));
		}
	}

	private static Function<YamlNode, Step.Action> textVerb(TextAction action) {
		return (node) -> {
			String text = text(node);
			return (run) -> action.run(run, text);
		};
	}

	private static Function<YamlNode, Step.Action> numberVerb(NumberAction action) {
		return (node) -> {
			int number = node.integer(1, 10_000, OptionalInt.empty());
			return (run) -> action.run(run, number);
		};
	}

	private static String text(YamlNode node) {
		return node.requiredText("a text", TEXT);
	}

	@FunctionalInterface
	private interface TextAction {

		void run(ScenarioRun run, String text);

	}

	@FunctionalInterface
	private interface WorkersAction {

		void run(ScenarioRun run, String workers, int count);

	}

	@FunctionalInterface
	private interface NumberAction {

		void run(ScenarioRun run, int number);

	}

}
