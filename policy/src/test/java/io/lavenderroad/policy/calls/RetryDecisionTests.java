package io.lavenderroad.policy.calls;

import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.CallRules;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against requests that run twice, against retries beyond the maximum number of
 * attempts of the route or the budget, and against traffic shares that differ from the
 * weights of a split.
 */
public class RetryDecisionTests {

	@Test
	public void requestThatMayHaveRunIsRetriedOnlyIfIdempotent() {
		Assert.assertFalse(decision(false, 3, 10).mayRetry(ExecutionVerdict.MAY_HAVE_RUN, true));
		Assert.assertTrue(decision(false, 3, 10).mayRetry(ExecutionVerdict.NOT_RUN, true));
		Assert.assertTrue(decision(true, 3, 10).mayRetry(ExecutionVerdict.MAY_HAVE_RUN, true));
	}

	@Test
	public void arrivalsAreBoundedByTheRouteAndTheBudget() {
		RetryDecision two = decision(true, 2, 10);
		Assert.assertTrue(two.mayRetry(ExecutionVerdict.MAY_HAVE_RUN, true));
		Assert.assertFalse(two.mayRetry(ExecutionVerdict.MAY_HAVE_RUN, true));
		Assert.assertFalse(decision(true, 3, 0).mayRetry(ExecutionVerdict.MAY_HAVE_RUN, true));
	}

	@Test
	public void refusalsByNodesNeedNoBudgetAndAreBounded() {
		RetryDecision decision = decision(false, 1, 0);
		int retries = 0;
		while (decision.mayRetry(ExecutionVerdict.NOT_RUN, false)) {
			retries++;
		}
		Assert.assertEquals(retries, RetryDecision.MAXIMUM_REFUSALS - 1);
	}

	@Test
	public void servicesGetTheShareOfTheirWeight() {
		Random random = new Random(20261204);
		Map<String, Integer> counts = new TreeMap<>();
		for (int call = 0; call < 10_000; call++) {
			counts.merge(ServiceChoice.draw(Map.of("a", 90, "b", 10, "c", 0), random).orElseThrow(), 1, Integer::sum);
		}
		Assert.assertEquals(counts.keySet(), Map.of("a", 1, "b", 1).keySet());
		Assert.assertTrue(Math.abs(counts.get("b") - 1_000) < 100, counts.toString());
		Assert.assertEquals(ServiceChoice.draw(Map.of("a", 0), random), Optional.empty());
	}

	private static RetryDecision decision(boolean idempotent, int maximumAttempts, int burst) {
		return new RetryDecision(new CallRules("r", idempotent, 1_000, 500, 0, maximumAttempts, 1_000), maximumAttempts,
				new RetryBudget(burst));
	}

}
