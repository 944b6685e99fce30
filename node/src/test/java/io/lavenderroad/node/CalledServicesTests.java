package io.lavenderroad.node;

import java.util.concurrent.atomic.AtomicLong;

import io.lavenderroad.node.CalledServices.CallPriority;
import io.lavenderroad.policy.calls.CallOrigin;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against nested calls that are treated like new requests, and against requests
 * that start although their nested calls will be refused.
 */
public class CalledServicesTests {

	private static final ServerReport SHORT_OF_SLOTS = new ServerReport(30, 50, CallOrigin.SERVER, 0.5);

	private static final long DEADLINE = 100_000;

	private AtomicLong now;

	private CalledServices services;

	@BeforeMethod
	public void runChecks() {
		this.now = new AtomicLong();
		this.services = new CalledServices(this.now::get);
		this.services.recordStart("check", 2, DEADLINE);
		this.services.recordStart("order", 1, DEADLINE);
		this.services.recordEnd("order", 1, DEADLINE);
	}

	@Test
	public void callIsNewUntilANodeReportsItAsNested() {
		Assert.assertEquals(enter(), new CallPriority(CallOrigin.UNKNOWN, 0));
		this.services.recordReport("dispatch", "position", 0, SHORT_OF_SLOTS);
		Assert.assertTrue(enter().nested());
	}

	@Test
	public void reportOfANodeThatHasJustStartedChangesNothing() {
		this.services.recordReport("dispatch", "position", 0, SHORT_OF_SLOTS);
		this.services.recordReport("dispatch", "position", 0, ServerReport.IDLE);
		Assert.assertTrue(enter().nested());
	}

	@Test
	public void nestedCallHasThePriorityOfTheRequestThatMakesIt() {
		reportNested();
		Assert.assertEquals(enter(), new CallPriority(CallOrigin.SERVER, 2));
	}

	@Test
	public void halfOfTheRequestsStartWhenTheCalledServiceHasCapacityForHalf() {
		reportNested();
		this.services.recordReport("dispatch", "position", 2, SHORT_OF_SLOTS);
		int admitted = 0;
		for (int request = 0; request < 100; request++) {
			admitted += this.services.admits("check", 2) ? 1 : 0;
		}
		Assert.assertEquals(admitted, 50, 1);
		Assert.assertTrue(this.services.admits("order", 1));
	}

	@Test
	public void callThatOutlivesEveryRunningRequestIsNew() {
		reportNested();
		this.now.set(6_000);
		this.services.recordReport("dispatch", "position", 0, SHORT_OF_SLOTS);
		Assert.assertEquals(this.services.recordCall("dispatch", "position", 0, DEADLINE + 100).origin(),
				CallOrigin.CALLER);
		Assert.assertEquals(enter().origin(), CallOrigin.SERVER);
	}

	@Test
	public void nodeThatHasJustStartedDoesNotRuleOutNestedCalls() {
		reportNested();
		Assert.assertEquals(this.services.recordCall("dispatch", "position", 0, DEADLINE + 100).origin(),
				CallOrigin.SERVER);
	}

	@Test
	public void reportThatCallersMakeTheCallsAppliesImmediately() {
		reportNested();
		this.services.recordReport("dispatch", "position", 0, new ServerReport(1, 50, CallOrigin.CALLER, 1));
		Assert.assertFalse(enter().nested());
	}

	@Test
	public void oldReportExpires() {
		reportNested();
		this.now.set(60_000);
		Assert.assertFalse(enter().nested());
		Assert.assertEquals(this.services.startShare("check", 2), 1.0);
	}

	private void reportNested() {
		this.services.recordReport("dispatch", "position", 0, SHORT_OF_SLOTS);
		for (int call = 0; call < 50; call++) {
			enter();
		}
	}

	private CallPriority enter() {
		return this.services.recordCall("dispatch", "position", 0, DEADLINE);
	}

}
