package io.lavenderroad.policy.calls;

import java.util.random.RandomGenerator;

/**
 * Says when a caller whose request was refused should come back. The load it answers is a
 * shortage of slots, of which one becomes free every few milliseconds. Callers return
 * early enough for an answer in time, and spread so that they do not return together.
 */
public final class RetryAdvice {

	/**
	 * Earliest return, in parts of the target latency: a slot becomes free in less.
	 */
	static final double EARLIEST_SHARE = 0.125;

	/**
	 * Latest return, in parts of the target latency: the rest is left for the run, so
	 * that a caller who comes back can still get its answer in time.
	 */
	static final double LATEST_SHARE = 0.5;

	/**
	 * Target latency of requests whose route is not known.
	 */
	public static final int USUAL_TARGET_MILLIS = 1_000;

	/**
	 * Latest return where the target latency is long: a shortage may end sooner.
	 */
	static final int LATEST_MILLIS = 500;

	/**
	 * Width of the time over which callers return to a node that has just started.
	 */
	static final int START_SPREAD_MILLIS = 400;

	/**
	 * Earliest return to a node that has no configuration yet. The control group elects a
	 * leader and confirms the version within about a second, and the caller has waited
	 * for a part of it.
	 */
	static final int LEAST_START_MILLIS = 400;

	private RetryAdvice() {
	}

	/**
	 * Returns when to come back.
	 * @param targetMillis time within which the caller expects its answer
	 * @param random source of randomness
	 * @return milliseconds from now
	 */
	public static long afterMillis(int targetMillis, RandomGenerator random) {
		double share = EARLIEST_SHARE + random.nextDouble() * (LATEST_SHARE - EARLIEST_SHARE);
		return Math.clamp(Math.round(targetMillis * share), 1, LATEST_MILLIS);
	}

	/**
	 * Returns when to come back to a node that has just started.
	 * @param random source of randomness
	 * @return milliseconds from now
	 */
	public static long afterStartMillis(RandomGenerator random) {
		return LEAST_START_MILLIS + random.nextInt(START_SPREAD_MILLIS);
	}

}
