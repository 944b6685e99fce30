package io.lavenderroad.policy.moves;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Observations;
import io.lavenderroad.model.ThinEvidence;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against withdrawing good versions and against missing bad ones.
 */
public class SequentialComparisonTests {

	private static final List<String> ROUTES = List.of("read", "write", "report");

	private static final WindowConditions SECOND = new WindowConditions(1, false, false);

	private static final double HORIZON_SECONDS = 1_800;

	private final Random random = new Random(20261204);

	@Test
	public void failureOfADependencyIsNotBlamedOnTheNewVersion() {
		for (int run = 0; run < 200; run++) {
			SequentialComparison comparison = start();
			for (int second = 0; second < 300; second++) {
				double common = (second % 60 < 20) ? 0.1 + 0.4 * this.random.nextDouble() : 0.002;
				comparison = comparison.plus(window((second < 150) ? 0.01 : 0.5, common, common), SECOND, true);
				Assert.assertFalse(comparison.isBad(), "run " + run + " second " + second);
			}
		}
	}

	@Test
	public void versionAtTheToleratedErrorShareKeepsTheStatedFalseAlarmRate() {
		int alarms = 0;
		for (int run = 0; run < 400; run++) {
			SequentialComparison comparison = SequentialComparison.start(0.1, ROUTES, 60);
			boolean alarm = false;
			for (int second = 0; second < 120; second++) {
				double old = 0.05 + 0.1 * this.random.nextDouble();
				double tolerated = Signal.ERRORS.ratio() * old + Signal.ERRORS.slack();
				comparison = comparison.plus(window(0.3, old, tolerated), SECOND, true);
				alarm = alarm || comparison.isBad();
			}
			alarms += alarm ? 1 : 0;
		}
		Assert.assertTrue(alarms <= 40, alarms + " alarms in 400 runs at a stated rate of 10%");
	}

	@Test
	public void failureAfterALongHealthyTimeIsDetected() {
		SequentialComparison comparison = start();
		for (int second = 0; second < 1_500; second++) {
			comparison = comparison.plus(window(0.95, 0.002, 0.002), SECOND, second < 300);
		}
		Assert.assertFalse(comparison.isBad());
		Assert.assertTrue(secondsUntilBad(comparison, 0.95, 0.2) <= 30);
	}

	@Test
	public void faultOnOneRouteIsNotHiddenByHealthyRoutes() {
		SequentialComparison comparison = start();
		int second = 0;
		while (!comparison.isBad() && second < 120) {
			Map<String, VersionPair> window = window(0.05, 0.05, 0.05);
			window.put("report", pair(20, 0.05, 0.01, 0.5));
			comparison = comparison.plus(window, SECOND, true);
			second++;
		}
		Assert.assertTrue(comparison.isBad());
		Assert.assertEquals(comparison.strongestRoute(), "report");
		Assert.assertEquals(comparison.strongestSignal(), Signal.ERRORS);
	}

	@Test
	public void burstShorterThanALeaseDoesNotWithdrawAVersion() {
		SequentialComparison comparison = start();
		for (int second = 0; second < 4; second++) {
			comparison = comparison.plus(window(0.5, 0, 1), SECOND, true);
		}
		Assert.assertFalse(comparison.isBad());
		Assert.assertTrue(secondsUntilBad(comparison, 0.5, 1) <= 3);
	}

	@Test
	public void coldStartToleratesSlowCallsButNotErrors() {
		WindowConditions cold = new WindowConditions(1, true, false);
		SequentialComparison slow = withBaseline();
		SequentialComparison failing = withBaseline();
		for (int second = 0; second < 60; second++) {
			Map<String, VersionPair> slowWindow = new TreeMap<>(
					Map.of("read", new VersionPair(observations(90, 0, 20), observations(10, 0, 200))));
			slow = slow.plus(slowWindow, cold, true);
			failing = failing.plus(window(0.1, 0.002, 0.5), cold, true);
		}
		Assert.assertFalse(slow.isBad());
		Assert.assertTrue(failing.isBad());
		for (int second = 0; second < 20; second++) {
			slow = slow.plus(Map.of("read", new VersionPair(observations(90, 0, 20), observations(10, 0, 200))), SECOND,
					true);
		}
		Assert.assertTrue(slow.isBad());
		Assert.assertTrue(slow.strongestSignal().comparesLatency());
	}

	@Test
	public void idleOldVersionDoesNotMakeALoadedNewVersionSlow() {
		SequentialComparison comparison = withBaseline();
		for (int second = 0; second < 300; second++) {
			// The old version took 20 ms under load and takes 5 ms without load.
			comparison = comparison
				.plus(Map.of("read", new VersionPair(observations(5, 0, 5), observations(95, 0, 22))), SECOND, false);
		}
		Assert.assertFalse(comparison.isBad());
	}

	@Test
	public void nodesRaiseNoFalseAlarmAndEachStopsABadVersion() {
		MoveParameters move = new MoveParameters("move", "v1", "v2", 1_800_000, ThinEvidence.HOLD, "sequential");
		for (int node = 0; node < 780; node++) {
			LocalComparison comparison = LocalComparison.start("shop", move, ROUTES, 0);
			for (int second = 0; second < 60; second++) {
				comparison = comparison.plus(nodeWindow(0.02), SECOND, 2_500);
			}
			Assert.assertFalse(comparison.shouldStop(), "node " + node);
		}
		LocalComparison comparison = LocalComparison.start("shop", move, ROUTES, 0);
		for (int second = 0; second < 60; second++) {
			comparison = comparison.plus(nodeWindow(0.6), SECOND, 2_500);
		}
		Assert.assertTrue(comparison.shouldStop(), comparison.reason());
	}

	private Map<ObservationKey, Observations> nodeWindow(double newErrorShare) {
		VersionPair pair = pair(40, 0.25, 0.02, newErrorShare);
		return Map.of(new ObservationKey("shop", "read", "v1"), pair.oldVersion(),
				new ObservationKey("shop", "read", "v2"), pair.newVersion());
	}

	private static SequentialComparison start() {
		return SequentialComparison.start(MoveEvidence.FALSE_ALARM_RATE, ROUTES, HORIZON_SECONDS);
	}

	private SequentialComparison withBaseline() {
		return start().plus(Map.of("read", new VersionPair(observations(1_000, 0, 20), Observations.NONE)), SECOND,
				true);
	}

	private int secondsUntilBad(SequentialComparison comparison, double newPart, double newErrorShare) {
		SequentialComparison next = comparison;
		int second = 0;
		while (!next.isBad() && second < 1_000) {
			next = next.plus(window(newPart, 0.002, newErrorShare), SECOND, false);
			second++;
		}
		return second;
	}

	private Map<String, VersionPair> window(double newPart, double oldErrorShare, double newErrorShare) {
		Map<String, VersionPair> window = new TreeMap<>();
		window.put("read", pair(180, newPart, oldErrorShare, newErrorShare));
		window.put("write", pair(60, newPart, oldErrorShare, newErrorShare));
		return window;
	}

	private VersionPair pair(int calls, double newPart, double oldErrorShare, double newErrorShare) {
		int newCalls = draw(calls, newPart);
		return new VersionPair(observations(calls - newCalls, draw(calls - newCalls, oldErrorShare), 20),
				observations(newCalls, draw(newCalls, newErrorShare), 20));
	}

	private int draw(int trials, double probability) {
		int count = 0;
		for (int trial = 0; trial < trials; trial++) {
			count += (this.random.nextDouble() < probability) ? 1 : 0;
		}
		return count;
	}

	private static Observations observations(long calls, long errors, double millis) {
		long[] counts = new long[LatencyHistogram.BUCKETS];
		counts[LatencyHistogram.bucketOf(millis)] = calls;
		return new Observations(calls, errors, 0, LatencyHistogram.of(counts));
	}

}
