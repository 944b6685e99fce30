package io.lavenderroad.daemon;

import org.testng.Assert;
import org.testng.annotations.Test;
import sun.misc.Signal;

/**
 * Guards against a SIGHUP that ends a process which is still starting.
 */
public class ReloadSignalTests {

	private static final long WAIT_MILLIS = 30_000;

	@Test
	public void signalBeforeTheFirstWaitIsKept() throws Exception {
		ReloadSignal signal = ReloadSignal.install();
		Signal.raise(new Signal("HUP"));
		Assert.assertTrue(signal.await(WAIT_MILLIS));
		Assert.assertFalse(signal.await(0));
	}

}
