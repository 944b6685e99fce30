package io.lavenderroad.node;

import java.util.concurrent.atomic.AtomicLong;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a log volume that grows with the load.
 */
public class RequestLogTests {

	@Test
	public void linesOfASecondAreBounded() {
		AtomicLong now = new AtomicLong();
		RequestLog log = new RequestLog(now::get);
		for (int line = 0; line < RequestLog.MAXIMUM_LINES + 50; line++) {
			log.write("node: Request {} of a test.", line);
		}
		Assert.assertEquals(log.suppressed(), 50);
		now.set(1_000);
		log.write("node: Request of the next second of a test.");
		Assert.assertEquals(log.suppressed(), 0);
	}

}
