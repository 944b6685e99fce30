package io.lavenderroad.core;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a clock that runs backwards.
 */
public class ClockTests {

	@Test
	public void systemClockNeverDecreases() {
		Clock clock = Clock.system();
		long first = clock.millis();
		Assert.assertTrue(clock.millis() >= first);
	}

}
