package io.lavenderroad.policy.calls;

import java.util.random.RandomGenerator;

/**
 * Computes the delay after which a caller should retry a refused request. It handles a
 * shortage of slots, in which a slot becomes free every few milliseconds. The delay is
 * short enough for an answer within the target latency, and random, so that callers do
 * not retry at the same time.
 */
public final class RetryAdvice {

	/**
	 * Minimum delay as a share of the target latency; a slot becomes free in less time.
	 */
	static final double MINIMUM_DELAY_SHARE = 0.125;

	/**
	 * Maximum delay as a share of the target latency. The remaining time is left for
	 * running the request, so that the retry can still be answered within the target
	 * latency.
	 */
	static final double MAXIMUM_DELAY_SHARE = 0.5;

	/**
	 * Target latency of requests whose route is unknown.
	 */
	public static final int DEFAULT_TARGET_MILLIS = 1_000;

	/**
	 * Maximum delay for long target latencies, since the shortage may end sooner.
	 */
	static final int MAXIMUM_DELAY_MILLIS = 500;

	/**
	 * Width of the interval over which retries to a node that has just started are
	 * spread.
	 */
	static final int START_SPREAD_MILLIS = 400;

	/**
	 * Minimum delay before a retry to a node that has no configuration yet. The control
	 * group elects a leader and confirms the version within about a second, and the
	 * caller has already waited for a part of that time.
	 */
	static final int MINIMUM_START_DELAY_MILLIS = 400;

	private RetryAdvice() {
	}

	/**
	 * Returns the delay before a retry.
	 * @param targetMillis target latency of the request
	 * @param random source of randomness
	 * @return delay in milliseconds
	 */
	public static long afterMillis(int targetMillis, RandomGenerator random) {
		double share = MINIMUM_DELAY_SHARE + random.nextDouble() * (MAXIMUM_DELAY_SHARE - MINIMUM_DELAY_SHARE);
		return Math.clamp(Math.round(targetMillis * share), 1, MAXIMUM_DELAY_MILLIS);
	}

	/**
	 * Returns the delay before a retry to a node that has just started.
	 * @param random source of randomness
	 * @return delay in milliseconds
	 */
	public static long afterStartMillis(RandomGenerator random) {
		return MINIMUM_START_DELAY_MILLIS + random.nextInt(START_SPREAD_MILLIS);
	}

}
