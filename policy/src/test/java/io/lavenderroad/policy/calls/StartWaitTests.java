package io.lavenderroad.policy.calls;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards callers of a node that has just started against refusals while its configuration
 * is on the way, and all others against a wait that leads nowhere.
 */
public class StartWaitTests {

	@Test
	public void requestWaitsForAThirdOfItsTimeRightAfterAStart() {
		Assert.assertEquals(StartWait.millis(0, 1_200), 400);
		Assert.assertEquals(StartWait.millis(1_999, 300), 100);
	}

	@Test
	public void waitIsBoundedHoweverLongTheCallerWouldStay() {
		Assert.assertEquals(StartWait.millis(100, 60_000), 600);
	}

	@Test
	public void requestWithoutTimeLeftDoesNotWait() {
		Assert.assertEquals(StartWait.millis(100, 0), 0);
		Assert.assertEquals(StartWait.millis(100, -5), 0);
	}

	@Test
	public void nodeThatHasRunForAWhileRefusesAtOnce() {
		Assert.assertEquals(StartWait.millis(2_000, 60_000), 0);
	}

}
