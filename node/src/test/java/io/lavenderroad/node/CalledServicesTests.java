package io.lavenderroad.node;

import java.util.concurrent.atomic.AtomicLong;

import io.lavenderroad.node.CalledServices.Urgency;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against calls of running requests that are treated like new ones, and against
 * requests that start although their calls will be refused.
 */
public class CalledServicesTests {

	private static final ServerReport SHORT = new ServerReport(30, 50, true, 0.5);

	private AtomicLong now;

	private CalledServices services;

	@BeforeMethod
	public void runChecks() {
		this.now = new AtomicLong();
		this.services = new CalledServices(this.now::get);
		this.services.started("check", 2);
		this.services.started("order", 1);
		this.services.ended("order", 1);
	}

	@Test
	public void callIsNewUntilANodeSaysThatItIsNested() {
		Assert.assertEquals(enter(), new Urgency(false, 0));
		this.services.reported("dispatch", "position", 0, SHORT);
		Assert.assertTrue(enter().nested());
	}

	@Test
	public void wordOfANodeThatHasJustStartedChangesNothing() {
		this.services.reported("dispatch", "position", 0, SHORT);
		this.services.reported("dispatch", "position", 0, ServerReport.IDLE);
		Assert.assertTrue(enter().nested());
	}

	@Test
	public void nestedCallIsAsUrgentAsTheRequestThatMakesIt() {
		learn();
		Assert.assertEquals(enter(), new Urgency(true, 2));
	}

	@Test
	public void halfOfTheRequestsStartWhenTheCalledServiceHasRoomForHalf() {
		learn();
		this.services.reported("dispatch", "position", 2, SHORT);
		int admitted = 0;
		for (int request = 0; request < 100; request++) {
			admitted += this.services.admits("check", 2) ? 1 : 0;
		}
		Assert.assertEquals(admitted, 50, 1);
		Assert.assertTrue(this.services.admits("order", 1));
	}

	@Test
	public void oldWordIsForgotten() {
		learn();
		this.now.set(60_000);
		Assert.assertFalse(enter().nested());
		Assert.assertEquals(this.services.startShare("check", 2), 1.0);
	}

	private void learn() {
		this.services.reported("dispatch", "position", 0, SHORT);
		for (int call = 0; call < 50; call++) {
			enter();
		}
	}

	private Urgency enter() {
		return this.services.entered("dispatch", "position", 0);
	}

}
