package io.lavenderroad.policy.calls;

import java.util.List;

import io.lavenderroad.policy.calls.CallingRoutes.RunningRoute;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests that start although their nested calls will be refused by an
 * overloaded service, and against refusing requests that do not call that service.
 */
public class DependencyShareTests {

	private static final RunningRoute CHECK = new RunningRoute("check", 2);

	private static final RunningRoute ORDER = new RunningRoute("order", 1);

	private static final RunningRoute BROWSE = new RunningRoute("browse", 2);

	private DependencyShare shares;

	@BeforeMethod
	public void start() {
		this.shares = new DependencyShare();
		for (int call = 0; call < 100; call++) {
			List<RunningRoute> running = (call % 5 == 0) ? List.of(CHECK, ORDER) : List.of(CHECK, ORDER, BROWSE);
			this.shares.callers().recordCall("dispatch", running);
		}
	}

	@Test
	public void shareOfTheRequestsThatCallAnOverloadedServiceMayStart() {
		report(0.4, 0);
		int admitted = 0;
		for (int request = 0; request < 1_000; request++) {
			admitted += this.shares.admits("check", 2, 10) ? 1 : 0;
		}
		Assert.assertEquals(admitted, 400, 1);
	}

	@Test
	public void requestsThatDoNotCallItAllStart() {
		report(0.4, 0);
		Assert.assertEquals(this.shares.share("order", 1, 10), 1.0);
		Assert.assertEquals(this.shares.share("browse", 2, 10), 1.0);
		Assert.assertEquals(this.shares.share("unknown", 2, 10), 1.0);
	}

	@Test
	public void oldReportsDoNotCount() {
		report(0.4, 0);
		Assert.assertEquals(this.shares.share("check", 2, DependencyShare.REPORT_VALIDITY_MILLIS), 1.0);
	}

	@Test
	public void callHasThePriorityOfTheRequestThatMakesIt() {
		Assert.assertEquals(this.shares.callers().callerPriority("dispatch").orElseThrow(), 2);
		Assert.assertTrue(this.shares.callers().callerPriority("other").isEmpty());
	}

	private void report(double share, long nowMillis) {
		this.shares.recordReport("dispatch", 2, share, nowMillis);
	}

}
