package io.lavenderroad.bench.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.lavenderroad.bench.history.HistoryEvent.CallAnswered;
import io.lavenderroad.bench.history.HistoryEvent.CallRan;
import io.lavenderroad.bench.history.HistoryEvent.CallSent;
import io.lavenderroad.bench.history.HistoryEvent.ChangeAnswered;
import io.lavenderroad.bench.history.HistoryEvent.ChangeSent;
import io.lavenderroad.bench.history.HistoryEvent.VersionInForce;
import io.lavenderroad.bench.history.HistoryEvent.VersionRecorded;
import io.lavenderroad.core.ExecutionVerdict;

/**
 * Checks a history against the guarantees of the system. The version that an accepted
 * change made is its position in the only possible linearization, so linearizability is
 * checked without a search, by comparing versions with the real-time order.
 */
public final class HistoryChecker {

	private static final String LINEARIZABILITY = "accepted changes are linearizable";

	private static final String SINGLE_OUTCOME = "a change has one outcome";

	private static final String DURABILITY = "accepted changes are not lost";

	private static final String MONOTONIC_VERSIONS = "versions on a node only rise";

	private static final String COMPLETE_VERSION = "a version in force is a whole accepted one";

	private static final String NO_MISSING_RESOURCES = "no route without its resource";

	private static final String AT_MOST_ONCE = "a non-idempotent request runs at most once";

	private static final String NOT_RUN_VERDICT = "not run means not run";

	private static final String MATCHING_ANSWER = "each answer is whole and belongs to its request";

	private final List<HistoryEvent> events;

	private HistoryChecker(List<HistoryEvent> events) {
		this.events = events.stream().sorted(Comparator.comparingLong(HistoryEvent::millis)).toList();
	}

	/**
	 * Checks a history.
	 * @param events the events in any order
	 * @return all violations; empty if every rule holds
	 */
	public static List<Violation> check(List<HistoryEvent> events) {
		HistoryChecker checker = new HistoryChecker(events);
		List<Violation> violations = new ArrayList<>();
		violations.addAll(checker.checkLinearizability());
		violations.addAll(checker.checkSingleOutcome());
		violations.addAll(checker.checkDurability());
		violations.addAll(checker.checkActiveVersions());
		violations.addAll(checker.checkAtMostOnce());
		violations.addAll(checker.checkAnswers());
		return violations;
	}

	private List<Violation> checkLinearizability() {
		List<Violation> violations = new ArrayList<>();
		List<ChangeAnswered> accepted = accepted();
		Map<String, ChangeSent> firstSent = firstByKey(ChangeSent.class, ChangeSent::changeId);
		Map<Long, ChangeAnswered> byVersion = new TreeMap<>();
		for (ChangeAnswered answer : accepted) {
			ChangeAnswered other = byVersion.putIfAbsent(answer.version(), answer);
			if (other != null && !other.changeId().equals(answer.changeId())) {
				violations.add(new Violation(LINEARIZABILITY, "two changes made version " + answer.version(),
						List.of(other, answer)));
			}
		}
		for (ChangeAnswered later : accepted) {
			ChangeSent sent = firstSent.get(later.changeId());
			checkRealTime(later, sent, byVersion).ifPresent(violations::add);
			checkBase(later, sent, byVersion).ifPresent(violations::add);
		}
		return violations;
	}

	private static Optional<Violation> checkRealTime(ChangeAnswered later, ChangeSent sent,
			Map<Long, ChangeAnswered> byVersion) {
		return byVersion.values()
			.stream()
			.filter((earlier) -> sent != null && earlier.millis() < sent.millis()
					&& earlier.version() > later.version())
			.findFirst()
			.map((earlier) -> new Violation(LINEARIZABILITY,
					"a change sent after an accepted one got a smaller version", List.of(earlier, sent, later)));
	}

	private static Optional<Violation> checkBase(ChangeAnswered answer, ChangeSent sent,
			Map<Long, ChangeAnswered> byVersion) {
		return byVersion.values()
			.stream()
			.filter((other) -> sent != null && other.version() > sent.baseVersion()
					&& other.version() < answer.version())
			.findFirst()
			.map((other) -> new Violation(LINEARIZABILITY,
					"a change was accepted although another one came after its base version",
					List.of(sent, other, answer)));
	}

	private List<Violation> checkSingleOutcome() {
		List<Violation> violations = new ArrayList<>();
		Map<String, ChangeAnswered> finalAnswers = new HashMap<>();
		for (ChangeAnswered answer : eventsOf(ChangeAnswered.class)) {
			if (answer.verdict() == ExecutionVerdict.MAY_HAVE_RUN) {
				continue;
			}
			ChangeAnswered other = finalAnswers.putIfAbsent(answer.changeId(), answer);
			if (other != null && (other.verdict() != answer.verdict() || other.version() != answer.version())) {
				violations.add(
						new Violation(SINGLE_OUTCOME, "two answers to the same change differ", List.of(other, answer)));
			}
		}
		return violations;
	}

	private List<Violation> checkDurability() {
		List<Violation> violations = new ArrayList<>();
		List<VersionRecorded> recorded = eventsOf(VersionRecorded.class);
		if (recorded.isEmpty()) {
			return violations;
		}
		Map<String, List<VersionRecorded>> byChange = recorded.stream()
			.filter((record) -> !record.changeId().isEmpty())
			.collect(Collectors.groupingBy(VersionRecorded::changeId));
		for (ChangeAnswered answer : accepted()) {
			List<VersionRecorded> records = byChange.getOrDefault(answer.changeId(), List.of());
			if (records.size() != 1 || records.getFirst().version() != answer.version()) {
				List<HistoryEvent> shown = new ArrayList<>(records);
				shown.addFirst(answer);
				violations.add(new Violation(DURABILITY,
						"the final history does not hold the accepted change once at" + " its version", shown));
			}
		}
		for (ChangeAnswered answer : eventsOf(ChangeAnswered.class)) {
			if (answer.verdict() == ExecutionVerdict.NOT_RUN && byChange.containsKey(answer.changeId())) {
				violations.add(new Violation(NOT_RUN_VERDICT, "a change refused as not run is in the final history",
						List.of(answer, byChange.get(answer.changeId()).getFirst())));
			}
		}
		return violations;
	}

	private List<Violation> checkActiveVersions() {
		List<Violation> violations = new ArrayList<>();
		Map<Long, VersionRecorded> recorded = firstByKey(VersionRecorded.class, VersionRecorded::version);
		Map<String, VersionInForce> last = new HashMap<>();
		for (VersionInForce report : eventsOf(VersionInForce.class)) {
			VersionInForce before = last.put(report.nodeId(), report);
			if (before != null && before.version() > report.version()) {
				violations.add(new Violation(MONOTONIC_VERSIONS, "a node went back to an older version",
						List.of(before, report)));
			}
			if (report.missingResources() > 0) {
				violations
					.add(new Violation(NO_MISSING_RESOURCES, "a slice refers to missing resources", List.of(report)));
			}
			boolean digestDiffers = !report.expectedDigest().isEmpty()
					&& !report.expectedDigest().equals(report.digest());
			boolean versionNotRecorded = !recorded.isEmpty() && !recorded.containsKey(report.version());
			if (digestDiffers || versionNotRecorded) {
				violations.add(new Violation(COMPLETE_VERSION, "a node has something in force that was never accepted",
						List.of(report)));
			}
		}
		return violations;
	}

	private List<Violation> checkAtMostOnce() {
		List<Violation> violations = new ArrayList<>();
		Map<String, CallSent> sent = firstByKey(CallSent.class, CallSent::callId);
		Map<String, CallRan> byCall = new HashMap<>();
		Map<String, CallRan> byKey = new HashMap<>();
		for (CallRan ran : eventsOf(CallRan.class)) {
			CallSent call = sent.get(ran.callId());
			if (call != null && call.idempotent()) {
				continue;
			}
			CallRan sameCall = byCall.putIfAbsent(ran.callId(), ran);
			CallRan sameKey = ran.key().isEmpty() ? null : byKey.putIfAbsent(ran.key(), ran);
			CallRan other = (sameCall != null) ? sameCall : sameKey;
			if (other != null) {
				violations.add(new Violation(AT_MOST_ONCE, "a request ran twice", List.of(other, ran)));
			}
		}
		return violations;
	}

	private List<Violation> checkAnswers() {
		List<Violation> violations = new ArrayList<>();
		Map<String, CallRan> ran = firstByKey(CallRan.class, CallRan::callId);
		Map<String, CallSent> sent = firstByKey(CallSent.class, CallSent::callId);
		for (CallAnswered answer : eventsOf(CallAnswered.class)) {
			CallRan run = ran.get(answer.callId());
			if (answer.verdict() == ExecutionVerdict.NOT_RUN && run != null) {
				violations
					.add(new Violation(NOT_RUN_VERDICT, "a call answered as not run has run", List.of(run, answer)));
			}
			if (answer.verdict() == ExecutionVerdict.RAN && !answer.whole()) {
				violations.add(new Violation(MATCHING_ANSWER, "an incomplete answer was passed off as whole",
						List.of(answer)));
			}
			if (!answer.answeredCallId().isEmpty() && !belongsToRequest(answer, sent)) {
				violations.add(new Violation(MATCHING_ANSWER, "an answer belongs to another request", List.of(answer)));
			}
		}
		return violations;
	}

	private static boolean belongsToRequest(CallAnswered answer, Map<String, CallSent> sent) {
		// A retry is answered from the first run with the same idempotency key, so the
		// answer may carry the id of that request.
		if (answer.answeredCallId().equals(answer.callId())) {
			return true;
		}
		CallSent call = sent.get(answer.callId());
		CallSent answered = sent.get(answer.answeredCallId());
		return call != null && answered != null && !call.key().isEmpty() && call.key().equals(answered.key());
	}

	private List<ChangeAnswered> accepted() {
		return eventsOf(ChangeAnswered.class).stream()
			.filter((answer) -> answer.verdict() == ExecutionVerdict.RAN)
			.toList();
	}

	private <T extends HistoryEvent> List<T> eventsOf(Class<T> type) {
		return this.events.stream().filter(type::isInstance).map(type::cast).toList();
	}

	private <T extends HistoryEvent, K> Map<K, T> firstByKey(Class<T> type, Function<T, K> key) {
		Map<K, T> first = new HashMap<>();
		eventsOf(type).forEach((event) -> first.putIfAbsent(key.apply(event), event));
		return first;
	}

}
