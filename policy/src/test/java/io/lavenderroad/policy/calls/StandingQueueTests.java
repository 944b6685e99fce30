package io.lavenderroad.policy.calls;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an overload in which every call waits for as long as its limit allows
 * and is then slightly late.
 */
public class StandingQueueTests {

	private static final long OBJECTIVE = 400;

	private static final long DEADLINE = 1_000;

	private AdmissionQueue<String> queue;

	@BeforeMethod
	public void fillSlots() {
		this.queue = new AdmissionQueue<>(4, 20, 10_000);
		this.queue.offer("first", "", 0, 0, DEADLINE);
		this.queue.release("", 100, 0);
		for (int call = 0; call < 4; call++) {
			Assert.assertEquals(offer("running " + call, 0), AdmissionDecision.RUN);
		}
	}

	@Test
	public void burstMayWaitUntilItsLatencyObjective() {
		for (int call = 0; call < 10; call++) {
			Assert.assertEquals(offer("call " + call, call), AdmissionDecision.WAIT);
		}
	}

	@Test
	public void standingQueueIsShort() {
		offer("call 0", 0);
		offer("call 1", 1);
		Assert.assertEquals(offer("call 2", AdmissionQueue.BURST_MILLIS + 1), AdmissionDecision.TOO_LATE);
	}

	@Test
	public void oneCallMayAlwaysWait() {
		offer("call 0", 0);
		this.queue.release("", 100, 50);
		Assert.assertEquals(offer("call 1", 300), AdmissionDecision.WAIT);
	}

	@Test
	public void queueThatWasEmptyAcceptsABurstAgain() {
		offer("call 0", 0);
		this.queue.release("", 100, 150);
		for (int call = 1; call < 10; call++) {
			Assert.assertEquals(offer("call " + call, 200 + call), AdmissionDecision.WAIT);
		}
	}

	private AdmissionDecision offer(String call, long nowMillis) {
		return this.queue.offer(call, "", 0, nowMillis, nowMillis + OBJECTIVE, nowMillis + DEADLINE);
	}

}
