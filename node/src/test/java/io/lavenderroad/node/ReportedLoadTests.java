package io.lavenderroad.node;

import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a slowness or load that directs calls after it has become old, and
 * against slowness that counts twice, in the service time and beside it.
 */
public class ReportedLoadTests {

	private final ReportedLoad load = new ReportedLoad();

	@Test
	public void readingsExpireAndMissingOnesKeepTheState() {
		this.load.record(Optional.of(new ServerLoad(9, 2, 12, 250)), 4, 1_000);
		this.load.record(Optional.empty(), 4, 1_050);
		Assert.assertEquals(this.load.otherRequests(1_100), 7);
		Assert.assertEquals(this.load.slownessPercent(1_100), 250);
		Assert.assertEquals(this.load.ignored(), 1);
		Assert.assertEquals(this.load.otherRequests(1_201), 0);
		Assert.assertEquals(this.load.slownessPercent(1_201), 100);
		for (int answer = 0; answer < 100; answer++) {
			this.load.record(Optional.of(new ServerLoad(1, 0, 12, 200)), 1, 2_000);
		}
		Assert.assertEquals(this.load.atUsualSpeed(50), 25, 0.1);
	}

}
