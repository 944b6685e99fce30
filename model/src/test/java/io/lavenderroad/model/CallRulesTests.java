package io.lavenderroad.model;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against short calls that backend servers make for requests they run and that are
 * refused as soon as all slots are in use, although their time-out leaves room for a wait
 * (incident inc-504a).
 */
public class CallRulesTests {

	@Test
	public void goalIsTheTargetOrHalfOfTheTimeout() {
		Assert.assertEquals(rules(1_200, 600).goalMillis(), 600);
		Assert.assertEquals(rules(400, 120).goalMillis(), 200);
		Assert.assertEquals(rules(1_500, 800).goalMillis(), 800);
	}

	private static CallRules rules(int timeoutMillis, int targetMillis) {
		return new CallRules("r", true, timeoutMillis, targetMillis, 0, 2, 1_000);
	}

}
