package io.lavenderroad.policy.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a cold server that crashes because all senders together exceed its rate,
 * also across the limits of a calendar second, and against a limit that leaves the server
 * idle.
 */
public class ColdRateLimitTests {

	private static final long DURATION_MILLIS = 20_000;

	private static final int CALLS_PER_MILLI = 2;

	@DataProvider
	Object[][] fleets() {
		return new Object[][] { { 66, 13.3 }, { 1_000, 13.3 }, { 66, 0.4 }, { 1_000, 140.9 } };
	}

	@Test(dataProvider = "fleets")
	public void sendersTogetherStayAtTheRateInEverySlidingSecond(int senders, double perSecond) {
		Random random = new Random(20261207);
		ColdRateLimit limit = new ColdRateLimit();
		long[] avoidedUntil = new long[senders];
		List<Long> starts = new ArrayList<>();
		for (long now = 0; now < DURATION_MILLIS; now++) {
			for (int call = 0; call < CALLS_PER_MILLI; call++) {
				int sender = random.nextInt(senders);
				if (now >= avoidedUntil[sender] && limit.tryStart(now, perSecond)) {
					starts.add(now);
				}
				avoidedUntil[sender] = Math.max(avoidedUntil[sender], now + limit.waitMillis(now, perSecond));
			}
		}
		int allowed = ColdRateLimit.startsPerWindow(perSecond);
		Assert.assertTrue(largestWindow(starts) <= allowed, largestWindow(starts) + " starts in a second");
		Assert.assertTrue(starts.size() >= 0.95 * allowed * DURATION_MILLIS / 1_000, starts.size() + " starts");
	}

	@Test
	public void startsBeforeTheServerBecameColdAndChangesOfTheRateCount() {
		ColdRateLimit limit = new ColdRateLimit();
		for (long now = 0; now < 10; now++) {
			limit.record(now, 5);
		}
		Assert.assertFalse(limit.tryStart(1_000, 5));
		Assert.assertFalse(limit.tryStart(1_000, 3));
		Assert.assertEquals(limit.waitMillis(1_000, 3), 8);
		Assert.assertTrue(limit.tryStart(1_008, 3));
		Assert.assertFalse(limit.tryStart(1_008, 3));
		Assert.assertTrue(limit.tryStart(1_008, 1e300));
	}

	private static int largestWindow(List<Long> starts) {
		int largest = 0;
		int first = 0;
		for (int last = 0; last < starts.size(); last++) {
			while (starts.get(last) - starts.get(first) > ColdRateLimit.WINDOW_MILLIS) {
				first++;
			}
			largest = Math.max(largest, last - first + 1);
		}
		return largest;
	}

}
