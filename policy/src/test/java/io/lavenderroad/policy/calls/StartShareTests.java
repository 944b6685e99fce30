package io.lavenderroad.policy.calls;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against requests that continue to start although their nested calls get no
 * slots, and against a share that stays low after capacity has become free.
 */
public class StartShareTests {

	private static final double OBJECTIVE_MILLIS = 200;

	private final StartShare share = new StartShare();

	@Test
	public void shareFallsWhileCallsWaitAndRisesAgain() {
		Assert.assertEquals(this.share.share(2, 0), 1.0);
		long now = simulateWaits(0, 2_000, 100);
		Assert.assertEquals(this.share.share(2, now), StartShare.MINIMUM_SHARE);
		Assert.assertEquals(this.share.share(1, now), 1.0);
		now = simulateWaits(now, 2_500, 0);
		Assert.assertEquals(this.share.share(2, now), 1.0);
	}

	@Test
	public void shareRisesAlsoWithoutCalls() {
		long now = simulateWaits(0, 2_000, 100);
		Assert.assertEquals(this.share.share(2, now + 2_500), 1.0);
	}

	private long simulateWaits(long start, long length, double waitMillis) {
		for (long now = start; now < start + length; now += 10) {
			this.share.recordWait(2, waitMillis, OBJECTIVE_MILLIS, now);
		}
		return start + length;
	}

}
