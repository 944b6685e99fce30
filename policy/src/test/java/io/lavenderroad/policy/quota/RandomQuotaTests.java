package io.lavenderroad.policy.quota;

import java.util.Random;

import io.lavenderroad.model.Quota;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays one minute of a team at many nodes. Guards against refusals below the limit
 * because tokens lie unused elsewhere, and against windows beyond the bound under
 * failures and overload.
 */
public class RandomQuotaTests {

	private static final long MINUTE_MILLIS = 60_000;

	private static final Quota LARGE = new Quota(427, 427);

	private static final Quota SMALL = new Quota(3, 3);

	@DataProvider
	public Object[][] loads() {
		return new Object[][] { { LARGE, 84, 0.95 }, { LARGE, 84, 7.5 }, { LARGE, 1_000, 0.95 }, { LARGE, 1_000, 7.5 },
				{ SMALL, 84, 0.95 }, { SMALL, 84, 7.5 }, { SMALL, 1_000, 0.95 }, { SMALL, 1_000, 7.5 },
				{ new Quota(400, 0), 84, 7.5 }, { new Quota(5_000, 0), 1_000, 7.5 } };
	}

	@Test(dataProvider = "loads")
	public void windowStaysWithinTheBoundUnderFailures(Quota quota, int nodes, double load) {
		QuotaPlay play = play(quota, nodes, load, 0.05);
		Assert.assertTrue(play.largestWindow <= play.bound(), play.largestWindow + " over " + play.bound());
	}

	@Test(dataProvider = "loads")
	public void teamBelowItsLimitIsNotRefused(Quota quota, int nodes, double load) {
		QuotaPlay play = play(quota, nodes, load, 0);
		if (load < 1) {
			Assert.assertEquals(play.beyondQuota, 0);
		}
		else {
			double share = play.admittedTotal / (quota.requestsPerSecond() * MINUTE_MILLIS / 1000);
			Assert.assertTrue(share > 0.95, "used " + share + " of the quota");
		}
	}

	@Test
	public void wholeBurstIsAdmittedAtOneNodeWhileOthersHoldTokens() {
		QuotaPlay play = new QuotaPlay(LARGE, 84, QuotaLedger::new);
		play.now = MINUTE_MILLIS;
		for (QuotaPlay.Node node : play.nodes) {
			node.attempt();
			node.request();
		}
		play.now += 1_000;
		for (int request = 0; request < LARGE.burst(); request++) {
			Assert.assertEquals(play.nodes[7].attempt(), QuotaAdmission.Kind.ADMITTED);
		}
	}

	@Test
	public void lowerLimitBindsOneWindowLater() {
		QuotaPlay play = new QuotaPlay(LARGE, 10, QuotaLedger::new);
		play.now = MINUTE_MILLIS;
		run(play, 10_000, 7.5 * LARGE.requestsPerSecond(), 0, new Random(3));
		play.quota = SMALL;
		run(play, QuotaTimes.WINDOW_MILLIS, 100, 0, new Random(4));
		play.largestWindow = 0;
		run(play, 10_000, 100, 0, new Random(5));
		Assert.assertTrue(play.largestWindow <= play.bound(), play.largestWindow + " over " + play.bound());
	}

	private static QuotaPlay play(Quota quota, int nodes, double load, double failures) {
		QuotaPlay play = new QuotaPlay(quota, nodes, QuotaLedger::new);
		play.now = MINUTE_MILLIS;
		run(play, MINUTE_MILLIS, load * quota.requestsPerSecond(), failures, new Random(11));
		return play;
	}

	/**
	 * Callers use 2 to 20 nodes, chosen anew every second.
	 * @param play the play
	 * @param millis duration
	 * @param perSecond requests of the team per second, evenly spaced
	 * @param failures probability of a failure in 20 ms
	 * @param random source of randomness
	 */
	private static void run(QuotaPlay play, long millis, double perSecond, double failures, Random random) {
		double due = 0;
		long end = play.now + millis;
		QuotaPlay.Node[] used = new QuotaPlay.Node[0];
		for (; play.now < end; play.now++) {
			if (play.now % 1_000 == 0) {
				used = new QuotaPlay.Node[2 + random.nextInt(19)];
				for (int index = 0; index < used.length; index++) {
					used[index] = play.nodes[random.nextInt(play.nodes.length)];
				}
			}
			if (play.now % 20 == 0) {
				tick(play, failures, random);
			}
			for (due += perSecond / 1_000; due >= 1; due--) {
				QuotaPlay.Node node = used[random.nextInt(used.length)];
				if (node.frozenAt < 0) {
					node.attempt();
				}
			}
		}
	}

	private static void tick(QuotaPlay play, double failures, Random random) {
		for (QuotaPlay.Node node : play.nodes) {
			if (node.frozenAt >= 0 && random.nextDouble() < 0.01) {
				node.resume();
			}
			if (node.frozenAt < 0 && !node.leases.isIdle()) {
				node.request();
			}
		}
		if (random.nextDouble() < failures) {
			QuotaPlay.Node node = play.nodes[random.nextInt(play.nodes.length)];
			switch (random.nextInt(40)) {
				case 0 -> play.changeLeader();
				case 1, 2, 3, 4, 5 -> node.restart();
				case 6, 7, 8, 9, 10 -> node.freeze();
				default -> {
					node.send();
					node.leases.failed(node.clock());
				}
			}
		}
	}

}
