package io.lavenderroad.policy.calls;

import io.lavenderroad.model.ConfigurationFreshness;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a node that says "no route" for a route that it has only not heard of.
 */
public class AbsentRouteTests {

	@Test
	public void currentNodeMaySayThatThereIsNoRoute() {
		Assert.assertTrue(AbsentRoute.isCertain(7, new ConfigurationFreshness(1_500, 7)));
		Assert.assertTrue(AbsentRoute.isCertain(7, ConfigurationFreshness.CURRENT));
	}

	@Test
	public void nodeThatKnowsOfANewerVersionMayNot() {
		Assert.assertFalse(AbsentRoute.isCertain(7, new ConfigurationFreshness(0, 8)));
	}

	@Test
	public void nodeThatHeardNothingForLongerThanAChangeMayTakeMayNot() {
		Assert.assertFalse(AbsentRoute.isCertain(7, new ConfigurationFreshness(1_501, 7)));
	}

	@Test
	public void waitLeavesTimeToRun() {
		Assert.assertEquals(AbsentRoute.waitMillis(600), 200);
		Assert.assertEquals(AbsentRoute.waitMillis(Integer.MAX_VALUE), 400);
		Assert.assertEquals(AbsentRoute.waitMillis(-5), 0);
	}

}
