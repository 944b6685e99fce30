package io.lavenderroad.model;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against refusing short nested calls, which a backend server makes for a request
 * that it runs, as soon as all slots are in use although their timeout leaves time to
 * wait for a slot (incident inc-504a).
 */
public class CallRulesTests {

	@Test
	public void latencyObjectiveIsTheTargetOrHalfOfTheTimeout() {
		Assert.assertEquals(rules(1_200, 600).latencyObjectiveMillis(), 600);
		Assert.assertEquals(rules(400, 120).latencyObjectiveMillis(), 200);
		Assert.assertEquals(rules(1_500, 800).latencyObjectiveMillis(), 800);
	}

	private static CallRules rules(int timeoutMillis, int targetLatencyMillis) {
		return new CallRules("r", true, timeoutMillis, targetLatencyMillis, 0, 2, 1_000);
	}

}
