package io.lavenderroad.policy.calls;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against requests that go on starting although the calls that they make find no
 * slots, and against a share that stays low once there is room again.
 */
public class EntryShareTests {

	private static final double GOAL_MILLIS = 200;

	private final EntryShare share = new EntryShare();

	@Test
	public void shareFallsWhileCallsWaitAndRisesAgain() {
		Assert.assertEquals(this.share.share(2, 0), 1.0);
		long now = play(0, 2_000, 100);
		Assert.assertEquals(this.share.share(2, now), EntryShare.MINIMUM_SHARE);
		Assert.assertEquals(this.share.share(1, now), 1.0);
		now = play(now, 2_500, 0);
		Assert.assertEquals(this.share.share(2, now), 1.0);
	}

	@Test
	public void shareRisesAlsoWithoutCalls() {
		long now = play(0, 2_000, 100);
		Assert.assertEquals(this.share.share(2, now + 2_500), 1.0);
	}

	private long play(long start, long length, double waitMillis) {
		for (long now = start; now < start + length; now += 10) {
			this.share.waited(2, waitMillis, GOAL_MILLIS, now);
		}
		return start + length;
	}

}
