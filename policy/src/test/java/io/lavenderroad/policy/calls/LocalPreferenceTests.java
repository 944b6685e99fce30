package io.lavenderroad.policy.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Calls leave their failure domain only if the endpoints there would answer too late.
 */
public class LocalPreferenceTests {

	private static final long NOW = 100_000;

	private static final double LOCAL_LATENCY_MILLIS = 500;

	private static final int SLOTS = 12;

	private static final int CALLS = 200;

	/**
	 * Guards against sending large bodies across failure domains because an idle server
	 * there is faster than a local one that answers early enough.
	 */
	@Test
	public void callsStayLocalWhileAnAnswerIsEarlyEnough() {
		Assert.assertEquals(remoteCalls(220, 8, LOCAL_LATENCY_MILLIS), 0);
		Assert.assertEquals(remoteCalls(220, 8, 0), CALLS);
	}

	/**
	 * Guards against callers that wait behind full local servers beside idle remote ones.
	 */
	@Test
	public void callsLeaveTheirDomainWhenLocalServersAreFull() {
		Assert.assertEquals(remoteCalls(220, 3 * SLOTS, LOCAL_LATENCY_MILLIS), CALLS);
	}

	/**
	 * Guards against a preference that keeps calls at a slow local server.
	 */
	@Test
	public void callsLeaveTheirDomainWhenLocalServersAreSlow() {
		Assert.assertEquals(remoteCalls(600, 0, LOCAL_LATENCY_MILLIS), CALLS);
	}

	private static int remoteCalls(double localMillis, int localLoad, double localLatencyMillis) {
		List<EndpointLoad> endpoints = new ArrayList<>();
		for (int index = 0; index < 6; index++) {
			boolean local = index < 3;
			EndpointLoad load = new EndpointLoad(endpoint(index, local ? "lac" : "marsa"));
			load.recordReport(NOW, local ? localLoad : 0, local ? localMillis : 60);
			endpoints.add(load);
		}
		BalancingContext context = new BalancingContext("lac", NOW, List.of(), new Random(7), 0, localLatencyMillis);
		ShortestTime policy = new ShortestTime();
		int remote = 0;
		for (int call = 0; call < CALLS; call++) {
			String domain = policy.choose(endpoints, context).orElseThrow().endpoint().failureDomain();
			remote += domain.equals("lac") ? 0 : 1;
		}
		return remote;
	}

	private static Endpoint endpoint(int index, String failureDomain) {
		return new Endpoint("node-" + index, 1, 1, EndpointState.READY, "intake", "v1", "tunis", failureDomain,
				"127.0.0.1:1", SLOTS, 100, "");
	}

}
