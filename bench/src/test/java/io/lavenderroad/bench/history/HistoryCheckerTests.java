package io.lavenderroad.bench.history;

import java.util.ArrayList;
import java.util.List;

import io.lavenderroad.bench.history.HistoryEvent.CallAnswered;
import io.lavenderroad.bench.history.HistoryEvent.CallRan;
import io.lavenderroad.bench.history.HistoryEvent.CallSent;
import io.lavenderroad.bench.history.HistoryEvent.ChangeAnswered;
import io.lavenderroad.bench.history.HistoryEvent.ChangeSent;
import io.lavenderroad.bench.history.HistoryEvent.VersionInForce;
import io.lavenderroad.bench.history.HistoryEvent.VersionRecorded;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.Location;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a checker that misses violations: each planted fault must be reported
 * under the rule that it violates.
 */
public class HistoryCheckerTests {

	private static final ExecutionVerdict RAN = ExecutionVerdict.RAN;

	private static final ExecutionVerdict NOT_RUN = ExecutionVerdict.NOT_RUN;

	@Test
	public void validHistoryHasNoViolations() {
		Assert.assertEquals(HistoryChecker.check(validHistory()), List.of());
	}

	@Test(dataProvider = "plantedFaults")
	public void plantedFaultIsReported(String rule, List<HistoryEvent> faults) {
		List<HistoryEvent> events = new ArrayList<>(validHistory());
		events.addAll(faults);
		List<Violation> violations = HistoryChecker.check(events);
		Assert.assertTrue(violations.stream().anyMatch((violation) -> violation.rule().equals(rule)),
				"rule '" + rule + "' is missing in " + violations);
	}

	@DataProvider
	Object[][] plantedFaults() {
		return new Object[][] {
				{ "accepted changes are linearizable",
						List.of(new ChangeSent(50, "c", 2), new ChangeAnswered(51, "c", RAN, 2)) },
				{ "accepted changes are linearizable",
						List.of(new ChangeSent(50, "c", 0), new ChangeAnswered(51, "c", RAN, 9)) },
				{ "a change has one outcome", List.of(new ChangeAnswered(60, "a", NOT_RUN, 0)) },
				{ "accepted changes are not lost",
						List.of(new ChangeSent(50, "c", 3), new ChangeAnswered(51, "c", RAN, 4)) },
				{ "not run means not run", List.of(new VersionRecorded(99, 7, "refused")) },
				{ "versions on a node only rise", List.of(new VersionInForce(70, "n1", 1, 0, "x", "x")) },
				{ "no route without its resource", List.of(new VersionInForce(70, "n2", 2, 1, "x", "x")) },
				{ "a version in force is a whole accepted one", List.of(new VersionInForce(70, "n2", 2, 0, "x", "y")) },
				{ "a version in force is a whole accepted one", List.of(new VersionInForce(70, "n2", 8, 0, "x", "x")) },
				{ "a non-idempotent request runs at most once", List.of(new CallRan(80, "order-2", "key", "b2")) },
				{ "a non-idempotent request runs at most once", List.of(new CallRan(80, "order-1", "key", "b1")) },
				{ "not run means not run", List.of(new CallRan(80, "refused", "", "b1")) },
				{ "each answer is whole and belongs to its request",
						List.of(new CallAnswered(80, "query", RAN, "query", false)) },
				{ "each answer is whole and belongs to its request",
						List.of(new CallAnswered(80, "query", RAN, "order-1", true)) } };
	}

	@Test
	public void fileFormatKeepsEveryEvent() {
		for (HistoryEvent event : validHistory()) {
			Assert.assertEquals(HistoryFile.parse(HistoryFile.format(event), Location.of("test")), event);
		}
	}

	@Test(expectedExceptions = LavenderroadException.class, expectedExceptionsMessageRegExp = "test: malformed.*")
	public void malformedLineIsReportedWithItsLocation() {
		HistoryFile.parse("call-ran\tsoon", Location.of("test"));
	}

	private static List<HistoryEvent> validHistory() {
		return List.of(new ChangeSent(1, "a", 0), new ChangeAnswered(5, "a", RAN, 1), new ChangeSent(6, "b", 1),
				new ChangeSent(6, "refused", 1), new ChangeAnswered(9, "refused", NOT_RUN, 0),
				new ChangeAnswered(10, "b", ExecutionVerdict.MAY_HAVE_RUN, 0), new ChangeSent(11, "b", 1),
				new ChangeAnswered(12, "b", RAN, 3), new VersionRecorded(99, 1, "a"), new VersionRecorded(99, 2, ""),
				new VersionRecorded(99, 3, "b"), new VersionInForce(7, "n1", 1, 0, "d1", "d1"),
				new VersionInForce(20, "n1", 3, 0, "d3", "d3"), new CallSent(30, "order-1", "key", false),
				new CallRan(31, "order-1", "key", "b1"), new CallAnswered(32, "order-1", RAN, "order-1", true),
				new CallSent(33, "order-2", "key", false), new CallAnswered(34, "order-2", RAN, "order-1", true),
				new CallSent(35, "query", "", true), new CallRan(36, "query", "", "b1"),
				new CallRan(37, "query", "", "b2"), new CallAnswered(38, "query", RAN, "query", true),
				new CallSent(39, "refused", "", false), new CallAnswered(40, "refused", NOT_RUN, "", true));
	}

}
