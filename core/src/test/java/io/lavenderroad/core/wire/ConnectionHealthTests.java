package io.lavenderroad.core.wire;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against failed peers that are detected late while an answer is pending, and
 * against frequent heartbeats on idle connections.
 */
public class ConnectionHealthTests {

	private static final long NOW = 1_000_000;

	private final WireOptions options = WireOptions.builder()
		.hello(new Hello("cluster", "test", "node", 1, ""))
		.catalog(MessageCatalog.builder().build())
		.heartbeatMillis(1_000)
		.receiveTimeoutMillis(2_500)
		.build();

	@Test
	public void silenceIsDetectedEarlyWhileAnAnswerIsPending() {
		Assert.assertEquals(health(100, 2_501, 2_501, false), ConnectionHealth.SILENT);
		Assert.assertEquals(health(100, 2_500, 3_000, false), ConnectionHealth.GOOD);
	}

	@Test
	public void silenceBeforeTheCallDoesNotCount() {
		Assert.assertEquals(health(100, 9_000, 200, false), ConnectionHealth.GOOD);
	}

	@Test
	public void waitingPeerReceivesAHeartbeatEachInterval() {
		Assert.assertEquals(health(1_000, 100, -1, true), ConnectionHealth.HEARTBEAT_DUE);
		Assert.assertEquals(health(999, 100, -1, true), ConnectionHealth.GOOD);
	}

	@Test
	public void idleConnectionUsesLongerIntervals() {
		Assert.assertEquals(health(9_999, 9_999, -1, false), ConnectionHealth.GOOD);
		Assert.assertEquals(health(10_000, 100, -1, false), ConnectionHealth.HEARTBEAT_DUE);
		Assert.assertEquals(health(100, 25_001, -1, false), ConnectionHealth.SILENT);
	}

	private ConnectionHealth health(long sentAgo, long receivedAgo, long waitingFor, boolean answering) {
		long waitingSince = (waitingFor >= 0) ? NOW - waitingFor : 0;
		return ConnectionHealth.of(NOW, NOW - sentAgo, NOW - receivedAgo, waitingSince, answering, this.options);
	}

}
