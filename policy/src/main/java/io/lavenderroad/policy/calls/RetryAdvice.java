package io.lavenderroad.policy.calls;

import java.util.random.RandomGenerator;

/**
 * Says when a caller whose request was refused should come back. The load it answers is a
 * shortage of slots, which lasts about as long as the calls that hold them, and the
 * callers are spread over the time so that they do not return together.
 */
public final class RetryAdvice {

	/**
	 * Earliest return, about the time of a short call.
	 */
	static final int LEAST_MILLIS = 100;

	/**
	 * Width of the time over which callers return.
	 */
	static final int SPREAD_MILLIS = 400;

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
	 * @param random source of randomness
	 * @return milliseconds from now
	 */
	public static long afterMillis(RandomGenerator random) {
		return LEAST_MILLIS + random.nextInt(SPREAD_MILLIS);
	}

	/**
	 * Returns when to come back to a node that has just started.
	 * @param random source of randomness
	 * @return milliseconds from now
	 */
	public static long afterStartMillis(RandomGenerator random) {
		return LEAST_START_MILLIS + random.nextInt(SPREAD_MILLIS);
	}

}
