package io.lavenderroad.policy.calls;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against calls that wait at slow servers while faster ones have free capacity.
 * The speeds, slots and times are those of the catalogue service; the baseline policies
 * are given the same calls.
 */
public class BalancingSimulationTests {

	private static final double[] SPEEDS = { 0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 0.6 };

	private static final int SLOTS = 12;

	private static final double MEAN_MILLIS = 270;

	private static final double TARGET_MILLIS = 600;

	private static final double DURATION_MILLIS = 60_000;

	private static final long SEED = 20261204;

	@Test
	public void fasterServersAreUsedWhileTheyHaveFreeCapacity() {
		double twoChoices = inTarget(simulate(new TwoChoices(), 120));
		double roundRobin = inTarget(simulate(new RoundRobin(), 120));
		double shortest = inTarget(simulate(new ShortestTime(), 120));
		Assert.assertTrue(shortest > twoChoices + 0.02, shortest + " in time; two choices " + twoChoices);
		Assert.assertTrue(shortest > roundRobin + 0.04, shortest + " in time; round robin " + roundRobin);
	}

	@Test
	public void allServersAreUsedWhenTheFastOnesAreFull() {
		double twoChoices = inTarget(simulate(new TwoChoices(), 220));
		double shortest = inTarget(simulate(new ShortestTime(), 220));
		Assert.assertTrue(shortest > twoChoices - 0.01, shortest + " in time; two choices " + twoChoices);
	}

	@Test
	public void serverThatBecomesSlowIsAvoided() {
		Assert.assertTrue(inTarget(withSlowServer(new ShortestTime())) > inTarget(withSlowServer(new TwoChoices())));
	}

	private static List<Double> withSlowServer(BalancingPolicy policy) {
		BalancingSimulation simulation = new BalancingSimulation(policy, SPEEDS, SLOTS, MEAN_MILLIS, SEED);
		simulation.slowDown(DURATION_MILLIS / 3, 0, 5);
		return simulation.run(160, DURATION_MILLIS);
	}

	private static List<Double> simulate(BalancingPolicy policy, double callsPerSecond) {
		return new BalancingSimulation(policy, SPEEDS, SLOTS, MEAN_MILLIS, SEED).run(callsPerSecond, DURATION_MILLIS);
	}

	private static double inTarget(List<Double> latencies) {
		return (double) latencies.stream().filter((latency) -> latency <= TARGET_MILLIS).count() / latencies.size();
	}

}
