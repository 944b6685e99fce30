package io.lavenderroad.policy.calls;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import io.lavenderroad.core.kernel.Kernel;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against retries that exceed the budget, against all callers choosing a server
 * that looks idle or fails fast, against cold servers with a full share or none, and
 * against calls to draining servers.
 */
public class CallPoliciesTests {

	private static final long NOW = 100_000;

	private final Random random = new Random(20261204);

	@Test
	public void retriesStayWithinTheShareOfTraffic() {
		RetryBudget budget = new RetryBudget();
		int retries = 0;
		for (int call = 0; call < 10_000; call++) {
			budget.call(1_000);
			// The server is unreachable: every call asks for three retries.
			for (int attempt = 0; attempt < 3; attempt++) {
				retries += budget.tryRetry() ? 1 : 0;
			}
		}
		Assert.assertTrue(retries <= 1_000 + RetryBudget.BURST, retries + " retries for 10000 calls");
		Assert.assertTrue(retries >= 999, "budget was not usable: " + retries);
	}

	@Test
	public void idleServerDoesNotAttractAllCalls() {
		List<EndpointLoad> candidates = endpoints(8, EndpointState.READY);
		for (EndpointLoad busy : candidates.subList(1, 8)) {
			busy.started();
		}
		Map<String, Integer> counts = choose(candidates, 8_000);
		Assert.assertTrue(counts.get("node-0") < 2_400, "too many calls on the idle server: " + counts);
	}

	@Test
	public void serverThatFailsFastDoesNotAttractCalls() {
		List<EndpointLoad> candidates = endpoints(4, EndpointState.READY);
		for (int call = 0; call < 100; call++) {
			for (int index = 0; index < candidates.size(); index++) {
				candidates.get(index).started();
				candidates.get(index).finished(NOW, (index == 0) ? 1 : 10, index == 0);
			}
		}
		Map<String, Integer> counts = choose(candidates, 1_000);
		Assert.assertTrue(counts.getOrDefault("node-0", 0) < 100, "failing server is preferred: " + counts);
	}

	@Test
	public void coldServerGetsASmallShare() {
		List<EndpointLoad> candidates = endpoints(8, EndpointState.READY);
		EndpointLoad cold = new EndpointLoad(endpoint(8, EndpointState.COLD));
		candidates.add(cold);
		int share = choose(candidates, 9_000).getOrDefault("node-8", 0);
		Assert.assertTrue(share > 20 && share < 300, "cold server got " + share + " of 9000");
	}

	@Test
	public void drainingAvoidedAndTriedServersGetNothing() {
		List<EndpointLoad> candidates = endpoints(3, EndpointState.READY);
		candidates.get(0).update(endpoint(0, EndpointState.DRAINING));
		candidates.get(1).started();
		candidates.get(1).refused(NOW + 10);
		BalancingContext context = new BalancingContext("soweto", NOW, List.of(candidates.get(2)), this.random);
		Assert.assertTrue(new TwoChoices().choose(candidates, context).isEmpty());
		BalancingContext later = new BalancingContext("soweto", NOW + 10, List.of(), this.random);
		for (int call = 0; call < 100; call++) {
			Assert.assertNotEquals(new TwoChoices().choose(candidates, later).get().endpoint().nodeId(), "node-0");
		}
	}

	@Test
	public void serverThatIsFullForOnePriorityGetsCallsOfHigherOnes() {
		List<EndpointLoad> candidates = endpoints(1, EndpointState.READY);
		candidates.getFirst().started();
		candidates.getFirst().recordFull(NOW + 10, 1);
		Assert.assertTrue(chooseWithPriority(candidates, 0).isPresent());
		Assert.assertTrue(chooseWithPriority(candidates, 1).isEmpty());
		Assert.assertTrue(chooseWithPriority(candidates, 2).isEmpty());
	}

	@Test
	public void policiesAreRegisteredByName() {
		Kernel kernel = Kernel.load();
		Assert.assertTrue(
				kernel.names(BalancingPolicy.EXTENSION_POINT).containsAll(List.of("round-robin", "two-choices")));
	}

	private Optional<EndpointLoad> chooseWithPriority(List<EndpointLoad> candidates, int priority) {
		return new TwoChoices().choose(candidates,
				new BalancingContext("soweto", NOW, List.of(), this.random, priority));
	}

	private Map<String, Integer> choose(List<EndpointLoad> candidates, int calls) {
		Map<String, Integer> counts = new HashMap<>();
		BalancingContext context = new BalancingContext("soweto", NOW, List.of(), this.random);
		for (int call = 0; call < calls; call++) {
			String node = new TwoChoices().choose(candidates, context).get().endpoint().nodeId();
			counts.merge(node, 1, Integer::sum);
		}
		return counts;
	}

	private static List<EndpointLoad> endpoints(int count, EndpointState state) {
		List<EndpointLoad> endpoints = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			endpoints.add(new EndpointLoad(endpoint(index, state)));
		}
		return endpoints;
	}

	private static Endpoint endpoint(int index, EndpointState state) {
		return new Endpoint("node-" + index, 1, 1, state, "catalogue", "v1", "gauteng", "soweto", "127.0.0.1:1", 12,
				100, "");
	}

}
