package io.lavenderroad.policy.calls;

import io.lavenderroad.model.ConfigurationFreshness;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a node that answers "no route" for a route that exists in a
 * configuration version which it has not received yet.
 */
public class MissingRouteDecisionTests {

	@Test
	public void nodeWithACurrentConfigurationIsCertain() {
		Assert.assertTrue(MissingRouteDecision.isCertain(7, new ConfigurationFreshness(1_500, 7)));
		Assert.assertTrue(MissingRouteDecision.isCertain(7, ConfigurationFreshness.CURRENT));
	}

	@Test
	public void nodeInformedOfANewerVersionIsNotCertain() {
		Assert.assertFalse(MissingRouteDecision.isCertain(7, new ConfigurationFreshness(0, 8)));
	}

	@Test
	public void nodeWithoutARecentConfirmationIsNotCertain() {
		Assert.assertFalse(MissingRouteDecision.isCertain(7, new ConfigurationFreshness(1_501, 7)));
	}

	@Test
	public void waitLeavesTimeForRunning() {
		Assert.assertEquals(MissingRouteDecision.waitMillis(600), 200);
		Assert.assertEquals(MissingRouteDecision.waitMillis(Integer.MAX_VALUE), 400);
		Assert.assertEquals(MissingRouteDecision.waitMillis(-5), 0);
	}

}
