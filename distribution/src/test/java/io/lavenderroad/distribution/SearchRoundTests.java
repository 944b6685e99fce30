package io.lavenderroad.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import io.lavenderroad.distribution.DistributionMessages.Hop;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a node that has no parent, and so gets no new versions, for longer than
 * a change may take, because it waits for processes that have crashed or do not respond.
 * Peers and time are simulated.
 */
public class SearchRoundTests {

	private static final long RECOVERY_LIMIT_MILLIS = 2_000;

	private static final int SEEDS = 1_000;

	private static final int ROOTS = 5;

	private static final int MAXIMUM_LOST = 2;

	private static final long ROUND_TRIP_MILLIS = 5;

	private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final long UPDATE_MILLIS = 50;

	@Test
	public void nodeRecoversInTimeFromLossOfParentAndTwoCandidates() {
		List<String> missed = new ArrayList<>();
		for (int seed = 0; seed < SEEDS; seed++) {
			long recoveryMillis = recovery(new Random(seed));
			if (recoveryMillis > RECOVERY_LIMIT_MILLIS) {
				missed.add("seed " + seed + " " + recoveryMillis + " ms");
			}
		}
		Assert.assertTrue(missed.isEmpty(), missed.size() + " of " + SEEDS + " searches took longer than "
				+ RECOVERY_LIMIT_MILLIS + " ms: " + missed);
	}

	@Test
	public void noSecondAttemptStartsWhileFirstCandidateAnswersInTime() {
		SearchRound round = round(hop(1), hop(2));
		Assert.assertEquals(round.start(0), Optional.of(hop(1)));
		Assert.assertEquals(round.start(149), Optional.empty());
		round.connected(hop(1));
		Assert.assertEquals(round.start(499), Optional.empty(), "a relay may need time to fetch its services");
		Assert.assertEquals(round.start(500), Optional.of(hop(2)));
	}

	@Test
	public void nextAttemptStartsImmediatelyAfterFailure() {
		SearchRound round = round(hop(1), hop(2));
		round.start(0);
		round.failed(hop(1));
		Assert.assertEquals(round.start(1), Optional.of(hop(2)));
		Assert.assertFalse(round.isOver());
		round.failed(hop(2));
		Assert.assertEquals(round.start(2), Optional.empty());
		Assert.assertTrue(round.isOver());
	}

	@Test
	public void redirectTargetsPrecedeOtherCandidates() {
		SearchRound round = round(hop(1), hop(2));
		round.start(0);
		round.redirected(hop(1), List.of(hop(3)));
		Assert.assertEquals(round.start(1), Optional.of(hop(3)));
		Assert.assertEquals(round.start(151), Optional.of(hop(2)));
		round.failed(hop(2));
		round.failed(hop(3));
		Assert.assertEquals(round.start(152), Optional.of(hop(1)),
				"the process that named a crashed child is asked for another target");
	}

	@Test
	public void concurrentAttemptsAreLimited() {
		SearchRound round = round(hop(1), hop(2), hop(3), hop(4), hop(5), hop(6));
		int started = 0;
		for (long now = 0; now < 10_000; now += 10) {
			started += round.start(now).isPresent() ? 1 : 0;
		}
		Assert.assertEquals(started, SearchRound.MAXIMUM_CONCURRENT_ATTEMPTS);
	}

	/**
	 * Returns the time from the crash of a parent until the node has received the missed
	 * updates.
	 */
	private static long recovery(Random random) {
		List<Hop> others = new ArrayList<>();
		for (int index = 1; index < ROOTS; index++) {
			others.add(hop(index));
		}
		Collections.shuffle(others, random);
		Map<Hop, CandidateOutcome> outcomes = new HashMap<>();
		for (int index = 0; index < others.size(); index++) {
			outcomes.put(others.get(index), (index < MAXIMUM_LOST) ? lost(random) : CandidateOutcome.ACCEPTING);
		}
		Collections.shuffle(others, random);
		List<String> seeds = new ArrayList<>(others.stream().map(Hop::address).toList());
		seeds.add(random.nextInt(seeds.size() + 1), hop(0).address());
		ParentCandidates candidates = new ParentCandidates("self", List.of(), seeds, Optional.of(hop(0)));
		long noticedMillis = TreeTimes.SILENCE_LIMIT_MILLIS + random.nextLong(TreeTimes.CHECK_MILLIS + 1);
		long startMillis = noticedMillis + new Backoff(random).nextMillis();
		return search(new SearchRound(candidates), outcomes, startMillis) + UPDATE_MILLIS;
	}

	private static CandidateOutcome lost(Random random) {
		return CandidateOutcome.values()[random.nextInt(CandidateOutcome.ACCEPTING.ordinal())];
	}

	private static long search(SearchRound round, Map<Hop, CandidateOutcome> outcomes, long startMillis) {
		PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
		long now = startMillis;
		while (!round.isOver()) {
			for (Optional<Hop> due = round.start(now); due.isPresent(); due = round.start(now)) {
				CandidateOutcome outcome = outcomes.get(new Hop("id" + due.get().address(), due.get().address()));
				events.add(new Event(now + outcome.millis, due.get(), outcome));
			}
			long nextStart = round.waitMillis(now);
			boolean eventFirst = !events.isEmpty()
					&& (nextStart == Long.MAX_VALUE || events.peek().atMillis() <= now + nextStart);
			if (eventFirst) {
				Event event = events.poll();
				now = event.atMillis();
				if (event.outcome() == CandidateOutcome.ACCEPTING) {
					return now;
				}
				round.failed(event.candidate());
			}
			else if (nextStart != Long.MAX_VALUE) {
				now += nextStart;
			}
		}
		return Long.MAX_VALUE / 2;
	}

	private static SearchRound round(Hop... ancestors) {
		return new SearchRound(new ParentCandidates("self", List.of(ancestors), List.of(), Optional.empty()));
	}

	private static Hop hop(int index) {
		return new Hop("id" + index, String.valueOf(index));
	}

	/**
	 * Outcome of an attempt and the time after which it is known.
	 */
	private enum CandidateOutcome {

		POWERED_OFF(CONNECT_TIMEOUT_MILLIS), UNRESPONSIVE(CONNECT_TIMEOUT_MILLIS), KILLED(ROUND_TRIP_MILLIS),
		ACCEPTING(3 * ROUND_TRIP_MILLIS);

		private final long millis;

		CandidateOutcome(long millis) {
			this.millis = millis;
		}

	}

	private record Event(long atMillis, Hop candidate, CandidateOutcome outcome) {

	}

}
