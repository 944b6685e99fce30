package io.lavenderroad.policy.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongFunction;

import io.lavenderroad.model.Quota;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Plays all short sequences of requests and failures at three nodes. Guards against a
 * window with more requests than the bound after a loss, a restart, a freeze, a late
 * grant, a change of leader or two leaders at once.
 */
public class ExhaustiveQuotaTests {

	private static final Quota QUOTA = new Quota(1, 10);

	private static final double BOUND = QuotaTimes.windowBound(QUOTA);

	private static final int DEPTH = 5;

	private static final long STEP_MILLIS = 150;

	private static final long FULL_MILLIS = 20_000;

	@Test
	public void everyWindowStaysWithinTheBound() {
		Assert.assertTrue(largestWindow(QuotaLedger::new) <= BOUND);
	}

	// A check that passes for any ledger would guard against nothing.
	@Test
	public void findsLedgerThatDoesNotCountTokensGrantedInAdvance() {
		Assert.assertTrue(largestWindow(FaultyLedger::new) > BOUND);
	}

	// Ends with the first window over the bound.
	private static int largestWindow(LongFunction<QuotaLedger> ledgers) {
		List<Consumer<QuotaPlay>> actions = actions();
		int plays = 1;
		for (int step = 0; step < DEPTH; step++) {
			plays *= actions.size();
		}
		int largest = 0;
		for (int number = 0; number < plays && largest <= BOUND; number++) {
			largest = Math.max(largest, play(actions, number, ledgers));
		}
		return largest;
	}

	private static int play(List<Consumer<QuotaPlay>> actions, int number, LongFunction<QuotaLedger> ledgers) {
		QuotaPlay play = new GreedyPlay(ledgers);
		play.now = FULL_MILLIS;
		int rest = number;
		for (int step = 0; step < DEPTH; step++) {
			actions.get(rest % actions.size()).accept(play);
			rest /= actions.size();
			play.now += STEP_MILLIS;
		}
		for (QuotaPlay.Node node : play.nodes) {
			node.resume();
			useAll(node);
		}
		return play.largestWindow;
	}

	private static List<Consumer<QuotaPlay>> actions() {
		List<Consumer<QuotaPlay>> actions = new ArrayList<>();
		for (int index = 0; index < 3; index++) {
			int chosen = index;
			actions.add((play) -> useAll(play.nodes[chosen]));
			actions.add((play) -> play.nodes[chosen].request());
		}
		actions.add((play) -> play.nodes[0].send());
		actions.add((play) -> play.nodes[0].delayOrDeliver());
		actions.add((play) -> play.nodes[0].restart());
		actions.add((play) -> freezeWithTokens(play.nodes[1]));
		actions.add((play) -> freezeWithTokens(play.nodes[2]));
		actions.add((play) -> play.now += QuotaTimes.ADVANCE_TOKEN_MILLIS);
		actions.add((play) -> play.now += QuotaTimes.WINDOW_MILLIS);
		actions.add(QuotaPlay::changeLeader);
		actions.add((play) -> {
			QuotaLedger earlier = play.ledger;
			play.changeLeader();
			play.nodes[2].leader = earlier;
		});
		return actions;
	}

	private static void useAll(QuotaPlay.Node node) {
		if (node.frozenAt >= 0) {
			return;
		}
		node.request();
		while (node.attempt() == QuotaAdmission.Kind.ADMITTED) {
			Assert.assertTrue(node.clock() >= 0);
		}
	}

	private static void freezeWithTokens(QuotaPlay.Node node) {
		if (node.frozenAt < 0) {
			node.leases.waiting(QuotaPlay.TEAM, 3);
			node.request();
			node.leases.waiting(QuotaPlay.TEAM, -3);
			node.freeze();
		}
	}

	/**
	 * Nodes that request nine tokens in advance whenever they may.
	 */
	private static final class GreedyPlay extends QuotaPlay {

		private GreedyPlay(LongFunction<QuotaLedger> ledgers) {
			super(QUOTA, 3, ledgers);
		}

		@Override
		QuotaLeases createLeases(String id, long incarnation) {
			QuotaLeases greedy = new QuotaLeases(id, incarnation) {
				@Override
				int target(TeamLease lease, long nowMillis) {
					return 9;
				}
			};
			greedy.waiting(TEAM, 0);
			return greedy;
		}

	}

	/**
	 * Ledger that does not count tokens granted in advance.
	 */
	private static final class FaultyLedger extends QuotaLedger {

		private FaultyLedger(long nowMillis) {
			super(nowMillis);
		}

		@Override
		TeamBucket newBucket(Quota quota, long emptySinceMillis) {
			return new TeamBucket(quota, emptySinceMillis) {
				@Override
				void recordAdvance(NodeAccount account, int tokens) {
				}
			};
		}

	}

}
