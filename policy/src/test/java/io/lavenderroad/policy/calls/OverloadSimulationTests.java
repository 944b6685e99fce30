package io.lavenderroad.policy.calls;

import java.util.Map;

import io.lavenderroad.policy.calls.OverloadSimulation.RequestClass;
import io.lavenderroad.policy.calls.OverloadSimulation.Tally;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against an overload of a called service that costs more than the excess load
 * itself: because all answers are slightly late, or because runs are lost when their
 * nested calls are refused.
 */
public class OverloadSimulationTests {

	private static final long SEED = 20261204;

	private static final double START_MILLIS = 5_000;

	private static final double END_MILLIS = 25_000;

	/**
	 * Share of the capacity of the called service that classes of higher priority than
	 * checks need at a load of 1.
	 */
	private static final double HIGHER_PRIORITY_SHARE = 0.493;

	/**
	 * Minimum share of the possible value that each class of the customer Prairie Pantry
	 * must earn on a day with failures.
	 */
	private static final double MINIMUM_CLASS_VALUE = 0.45;

	@DataProvider
	public static Object[][] loads() {
		return new Object[][] { { 1.0 }, { 1.25 }, { 1.5 }, { 2.0 }, { 3.0 } };
	}

	@DataProvider
	public static Object[][] loadsWithFreeCapacity() {
		return new Object[][] { { 1.0 }, { 1.25 }, { 1.5 } };
	}

	@Test(dataProvider = "loadsWithFreeCapacity")
	public void lowestPriorityGetsTheRemainingCapacity(double load) {
		double left = (1 - load * HIGHER_PRIORITY_SHARE) / (load * (1 - HIGHER_PRIORITY_SHARE));
		Map<RequestClass, Tally> tallies = simulate(load);
		Assert.assertTrue(tallies.get(RequestClass.CHECK).earnedValue() >= 0.7 * left, left + " left, " + tallies);
	}

	@Test(dataProvider = "loads")
	public void runsAreNotLostToRefusedNestedCalls(double load) {
		Map<RequestClass, Tally> tallies = simulate(load);
		Assert.assertTrue(tallies.get(RequestClass.CHECK).lostRuns() < 0.05, "" + tallies);
	}

	@Test(dataProvider = "loads")
	public void answersOfAnOverloadedServiceAreInTime(double load) {
		Map<RequestClass, Tally> tallies = simulate(load);
		Tally checks = tallies.get(RequestClass.CHECK);
		Assert.assertTrue(checks.late() <= 0.25 * checks.inTarget(), "" + tallies);
	}

	@Test(dataProvider = "loadsWithFreeCapacity")
	public void higherPrioritiesAreNotHarmed(double load) {
		Map<RequestClass, Tally> tallies = simulate(load);
		Assert.assertTrue(tallies.get(RequestClass.CHARGE).earnedValue() >= 0.9, "" + tallies);
		Assert.assertTrue(tallies.get(RequestClass.ORDER).earnedValue() >= 0.9, "" + tallies);
		Assert.assertTrue(tallies.get(RequestClass.STATUS).earnedValue() >= MINIMUM_CLASS_VALUE, "" + tallies);
	}

	@Test
	public void answersAreInTimeAgainASecondAfterASurge() {
		OverloadSimulation simulation = new OverloadSimulation(SEED);
		simulation.arrivals(0.75 * OverloadSimulation.CAPACITY_PER_SECOND, 0, END_MILLIS);
		simulation.arrivals(2.25 * OverloadSimulation.CAPACITY_PER_SECOND, START_MILLIS, 2 * START_MILLIS);
		Map<RequestClass, Tally> after = simulation.run(2 * START_MILLIS + 1_000, 2 * START_MILLIS + 4_000);
		after.values()
			.stream()
			.filter((tally) -> tally.requests() > 0)
			.forEach((tally) -> Assert.assertTrue(tally.inTarget() >= 0.9 * tally.requests(),
					"after a surge: " + after));
	}

	private static Map<RequestClass, Tally> simulate(double load) {
		OverloadSimulation simulation = new OverloadSimulation(SEED);
		simulation.arrivals(load * OverloadSimulation.CAPACITY_PER_SECOND, 0, END_MILLIS);
		return simulation.run(START_MILLIS, END_MILLIS);
	}

}
