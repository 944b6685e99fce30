package io.lavenderroad.policy.calls;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against calls that wait at slow servers while faster ones have room. The speeds,
 * slots and times are those of the catalogue service; the baselines play the same calls.
 */
public class PlacementPlayTests {

	private static final double[] SPEEDS = { 0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 0.6 };

	private static final int SLOTS = 12;

	private static final double MEAN_MILLIS = 270;

	private static final double TARGET_MILLIS = 600;

	private static final double LENGTH_MILLIS = 60_000;

	private static final long SEED = 20261204;

	@Test
	public void fasterServersAreUsedWhileTheyHaveRoom() {
		double twoChoices = inTarget(play(new TwoChoices(), 120));
		double roundRobin = inTarget(play(new RoundRobin(), 120));
		double shortest = inTarget(play(new ShortestTime(), 120));
		Assert.assertTrue(shortest > twoChoices + 0.02, shortest + " in time; two choices " + twoChoices);
		Assert.assertTrue(shortest > roundRobin + 0.04, shortest + " in time; round robin " + roundRobin);
	}

	@Test
	public void allServersAreUsedWhenTheFastOnesAreFull() {
		double twoChoices = inTarget(play(new TwoChoices(), 220));
		double shortest = inTarget(play(new ShortestTime(), 220));
		Assert.assertTrue(shortest > twoChoices - 0.01, shortest + " in time; two choices " + twoChoices);
	}

	@Test
	public void serverThatTurnsSlowIsLeft() {
		Assert.assertTrue(inTarget(withSlowServer(new ShortestTime())) > inTarget(withSlowServer(new TwoChoices())));
	}

	private static List<Double> withSlowServer(BalancingPolicy policy) {
		PlacementPlay play = new PlacementPlay(policy, SPEEDS, SLOTS, MEAN_MILLIS, SEED);
		play.slowDown(LENGTH_MILLIS / 3, 0, 5);
		return play.play(160, LENGTH_MILLIS);
	}

	private static List<Double> play(BalancingPolicy policy, double callsPerSecond) {
		return new PlacementPlay(policy, SPEEDS, SLOTS, MEAN_MILLIS, SEED).play(callsPerSecond, LENGTH_MILLIS);
	}

	private static double inTarget(List<Double> latencies) {
		return (double) latencies.stream().filter((latency) -> latency <= TARGET_MILLIS).count() / latencies.size();
	}

}
