package io.lavenderroad.policy.calls;

import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against calls of running requests that are taken for new ones and refused, and
 * new ones that pass for calls of running requests.
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
		play(400);
		Assert.assertTrue(this.routes.isNested("position"));
		Assert.assertFalse(this.routes.isNested("charge"));
		Assert.assertFalse(this.routes.isNested("unknown"));
	}

	@Test
	public void fewCallsProveNothing() {
		play(10);
		Assert.assertFalse(this.routes.isNested("position"));
	}

	@Test
	public void routeOfCallersIsNeverTakenForNested() {
		for (int round = 0; round < 5_000; round++) {
			play(1);
			Assert.assertFalse(this.routes.isNested("charge"), "after " + round + " calls");
		}
	}

	@Test
	public void onlyServiceOfAMeshHasNoNestedRoutes() {
		for (int call = 0; call < 1_000; call++) {
			this.routes.observe("browse", "catalogue");
			this.routes.observe("order", "catalogue");
		}
		Assert.assertFalse(this.routes.isNested("browse"));
	}

	@Test
	public void routeThatCallersUseFromNowOnIsNoLongerNested() {
		play(400);
		for (int call = 0; call < 400; call++) {
			this.routes.observe("position", NODES[this.random.nextInt(NODES.length)]);
		}
		Assert.assertFalse(this.routes.isNested("position"));
	}

	private void play(int calls) {
		for (int call = 0; call < calls; call++) {
			this.routes.observe("position", "order-desk");
			this.routes.observe("charge", NODES[this.random.nextInt(NODES.length)]);
		}
	}

}
