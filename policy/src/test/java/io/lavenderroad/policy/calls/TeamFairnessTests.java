package io.lavenderroad.policy.calls;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a team whose traffic surges, or whose clients retry at once, taking the
 * capacity of the others, and against a large team that gets hardly any capacity in a
 * shortage. Plays 84 teams, four of them large, at one backend server.
 */
public class TeamFairnessTests {

	private static final int SLOTS = 12;

	private static final double SERVICE_MILLIS = 20;

	private static final double CAPACITY = SLOTS * 1_000 / SERVICE_MILLIS;

	private static final long WARM_MILLIS = 60_000;

	private static final long END_MILLIS = 90_000;

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::millis));

	private final Map<String, int[]> tallies = new TreeMap<>();

	private AdmissionQueue<Call> queue;

	private Random random;

	@Test
	public void surgeIsBorneByTheTeamThatSendsIt() {
		play(0.7, 1, 1);
		assertShares("t01", 1.2);
		int[] surging = this.tallies.get("t01");
		Assert.assertTrue((double) surging[1] / surging[0] <= shareOfOthers("t04"), "the surge gains from its load");
	}

	@Test
	public void immediateRetriesAreBorneByTheTeamThatSendsThem() {
		play(1.3, -1, 1);
		double before = shareOfOthers("t05");
		play(1.3, -1, 4);
		assertShares("t05", 0.85);
		Assert.assertTrue(shareOfOthers("t05") >= 0.95 * before, shareOfOthers("t05") + " after " + before);
	}

	@Test
	public void largeTeamIsServedInAShortage() {
		for (double load : List.of(1.5, 2.5, 4.0)) {
			play(load, -1, 1);
			assertShares("", 0.75);
		}
	}

	@Test
	public void teamOverItsShareIsNotRefusedBesideFreePlaces() {
		AdmissionQueue<String> places = new AdmissionQueue<>(1, 10, 2_000);
		places.offer("running", "large", 0, 1_000);
		places.offer("other", "small", 0, 1_000);
		for (int index = 0; index < 9; index++) {
			Assert.assertEquals(places.offer("large " + index, "large", 0, 1_000), AdmissionDecision.WAIT);
		}
		Assert.assertEquals(places.offer("too many", "large", 0, 1_000), AdmissionDecision.OVER_SHARE);
	}

	@Test
	public void callIsNeverEvictedForOneOfALowerPriorityNorANestedOne() {
		AdmissionQueue<String> places = new AdmissionQueue<>(1, 4, 2_000);
		places.offer("running", "large", 0, 1_000);
		places.offerNested("nested", "large", 0, 0, 500, 1_000);
		for (int index = 0; index < 3; index++) {
			places.offer("large " + index, "large", 1, 0, 1_000);
		}
		Assert.assertEquals(places.evictForCustomer("small", 2), Optional.empty());
		for (int index = 2; index >= 0; index--) {
			Assert.assertEquals(places.evictForCustomer("small", 1), Optional.of("large " + index));
		}
		Assert.assertEquals(places.evictForCustomer("small", 0), Optional.empty());
	}

	private void assertShares(String culprit, double least) {
		double all = shareOfOthers("");
		this.tallies.forEach((team, tally) -> {
			double share = (double) tally[1] / tally[0] / all;
			double expected = team.equals(culprit) ? 0.25 : least;
			Assert.assertTrue(share >= expected, team + " is served " + share + " times as often as all");
		});
	}

	private double shareOfOthers(String culprit) {
		int[] sums = new int[2];
		this.tallies.forEach((team, tally) -> {
			for (int index = 0; index < 2 && !team.equals(culprit); index++) {
				sums[index] += tally[index];
			}
		});
		return (double) sums[1] / sums[0];
	}

	// Four teams have 40%, 20%, 10% and 5% of the traffic, two 5%, 78 share the rest.
	private void play(double load, int surging, int attemptsOfFifth) {
		this.random = new Random(20261207);
		this.queue = new AdmissionQueue<>(SLOTS, 24, 5_000);
		this.tallies.clear();
		this.events.clear();
		double[] shares = IntStream.range(0, 84)
			.mapToDouble((index) -> (index < 4) ? 0.4 / (1 << index) : 0.15 / 78)
			.toArray();
		shares[4] = 0.05;
		shares[5] = 0.05;
		for (int index = 0; index < shares.length; index++) {
			String team = String.format("t%02d", index);
			this.tallies.put(team, new int[2]);
			double perMilli = shares[index] * load * CAPACITY / 1_000;
			arrivals(team, perMilli, 0, (index == surging) ? WARM_MILLIS : END_MILLIS,
					(index == 5) ? attemptsOfFifth : 1);
			if (index == surging) {
				arrivals(team, 7.5 * perMilli, WARM_MILLIS, END_MILLIS, 1);
			}
		}
		while (!this.events.isEmpty()) {
			Event next = this.events.poll();
			next.action().run();
		}
	}

	private void arrivals(String team, double perMilli, double from, double until, int attempts) {
		double at = from - Math.log(1 - this.random.nextDouble()) / perMilli;
		if (at < until) {
			this.events.add(new Event(at, () -> {
				arrivals(team, perMilli, at, until, attempts);
				if (at >= WARM_MILLIS) {
					this.tallies.get(team)[0]++;
				}
				attempt(new Call(team, at, attempts), at);
			}));
		}
	}

	private void attempt(Call call, double now) {
		long millis = (long) now;
		this.queue.recordDemand(call.team(), millis);
		AdmissionDecision decision = offer(call, millis);
		if (decision == AdmissionDecision.FULL) {
			Optional<Call> evicted = this.queue.evictForCustomer(call.team(), 0);
			decision = evicted.isPresent() ? offer(call, millis) : decision;
			evicted.ifPresent((refused) -> refused(refused, now));
		}
		if (decision == AdmissionDecision.RUN) {
			run(call, now);
		}
		else if (decision != AdmissionDecision.WAIT) {
			refused(call, now);
		}
	}

	private AdmissionDecision offer(Call call, long millis) {
		return this.queue.offer(call, call.team(), 0, millis, millis + 400, (long) call.at() + 2_000);
	}

	private void refused(Call call, double now) {
		if (call.attempts() > 1) {
			Call again = new Call(call.team(), call.at(), call.attempts() - 1);
			this.events.add(new Event(now + 1, () -> attempt(again, now + 1)));
		}
	}

	private void run(Call call, double now) {
		double held = -Math.log(1 - this.random.nextDouble()) * SERVICE_MILLIS;
		this.events.add(new Event(now + held, () -> {
			if (call.at() >= WARM_MILLIS) {
				this.tallies.get(call.team())[1]++;
			}
			this.queue.release(call.team(), held, (long) (now + held)).ifPresent((next) -> run(next, now + held));
		}));
	}

	private record Event(double millis, Runnable action) {

	}

	private static final class Call {

		private final String team;

		private final double at;

		private final int attempts;

		private Call(String team, double at, int attempts) {
			this.team = team;
			this.at = at;
			this.attempts = attempts;
		}

		private String team() {
			return this.team;
		}

		private double at() {
			return this.at;
		}

		private int attempts() {
			return this.attempts;
		}

	}

}
