package io.lavenderroad.policy.calls;

import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against nested calls that are treated as new ones and refused, and against new
 * calls that are treated as nested.
 */
public class NestedRoutesTests {

	private static final String[] NODES = { "order-desk", "order-desk", "order-desk", "dispatch" };

	private NestedRoutes routes;

	private Random random;

	@BeforeMethod
	public void start() {
		this.routes = new NestedRoutes();
		this.random = new Random(20261204);
	}

	@Test
	public void routeCalledFromTheNodesOfOneServiceOnlyIsNested() {
		observeCalls(400);
		Assert.assertEquals(this.routes.origin("position"), CallOrigin.SERVER);
		Assert.assertNotEquals(this.routes.origin("charge"), CallOrigin.SERVER);
		Assert.assertNotEquals(this.routes.origin("unknown"), CallOrigin.SERVER);
	}

	@Test
	public void fewCallsProveNothing() {
		observeCalls(10);
		Assert.assertNotEquals(this.routes.origin("position"), CallOrigin.SERVER);
	}

	@Test
	public void routeOfExternalCallersNeverCountsAsNested() {
		for (int round = 0; round < 5_000; round++) {
			observeCalls(1);
			Assert.assertNotEquals(this.routes.origin("charge"), CallOrigin.SERVER, "after " + round + " calls");
		}
	}

	@Test
	public void routeOfExternalCallersThatCannotReachTheNodesOfAServiceIsNotNested() {
		for (int call = 0; call < 1_000; call++) {
			this.routes.observe("check", "order-desk", call % 20 == 0);
			this.routes.observe("order", NODES[this.random.nextInt(NODES.length)], false);
		}
		Assert.assertEquals(this.routes.origin("check"), CallOrigin.CALLER);
	}

	@Test
	public void onlyServiceOfAMeshHasNoNestedRoutes() {
		for (int call = 0; call < 1_000; call++) {
			this.routes.observe("browse", "catalogue", false);
			this.routes.observe("order", "catalogue", false);
		}
		Assert.assertNotEquals(this.routes.origin("browse"), CallOrigin.SERVER);
	}

	@Test
	public void routeThatExternalCallersStartToUseIsNoLongerNested() {
		observeCalls(400);
		for (int call = 0; call < 400; call++) {
			this.routes.observe("position", NODES[this.random.nextInt(NODES.length)], false);
		}
		Assert.assertNotEquals(this.routes.origin("position"), CallOrigin.SERVER);
	}

	private void observeCalls(int calls) {
		for (int call = 0; call < calls; call++) {
			this.routes.observe("position", "order-desk", false);
			this.routes.observe("charge", NODES[this.random.nextInt(NODES.length)], false);
		}
	}

}
