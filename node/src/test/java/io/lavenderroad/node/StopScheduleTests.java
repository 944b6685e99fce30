package io.lavenderroad.node;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against requests that a stopping node accepts although the process ends before
 * their deadline, and against refusals of those that end in time.
 */
public class StopScheduleTests {

	@Test
	public void requestThatCouldOutlastTheProcessIsAcceptedOnlyEarlyInTheStop() {
		StopSchedule schedule = new StopSchedule(3_000, 5_200);
		Assert.assertTrue(schedule.accepts(2_999, 9_000));
		Assert.assertFalse(schedule.accepts(3_000, 5_201));
		Assert.assertTrue(schedule.accepts(3_000, 5_200));
		Assert.assertFalse(schedule.accepts(5_100, 5_300));
	}

	@Test
	public void runningNodeAcceptsEveryDeadline() {
		Assert.assertTrue(StopSchedule.NEVER.accepts(Long.MAX_VALUE - 1, Long.MAX_VALUE));
	}

}
