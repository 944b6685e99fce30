package io.lavenderroad.policy.calls;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against refusals by a node that has just started and is about to receive its
 * configuration, and against useless waits at all other nodes without a configuration.
 */
public class StartupWaitTests {

	@Test
	public void requestWaitsForAThirdOfItsTimeAfterAStart() {
		Assert.assertEquals(StartupWait.millis(0, 1_200), 400);
		Assert.assertEquals(StartupWait.millis(1_999, 300), 100);
	}

	@Test
	public void waitIsBoundedForAnyDeadline() {
		Assert.assertEquals(StartupWait.millis(100, 60_000), 600);
	}

	@Test
	public void requestWithoutTimeLeftDoesNotWait() {
		Assert.assertEquals(StartupWait.millis(100, 0), 0);
		Assert.assertEquals(StartupWait.millis(100, -5), 0);
	}

	@Test
	public void nodeThatHasRunForLongerRefusesImmediately() {
		Assert.assertEquals(StartupWait.millis(2_000, 60_000), 0);
	}

}
