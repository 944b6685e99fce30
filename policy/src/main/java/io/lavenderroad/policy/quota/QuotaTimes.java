package io.lavenderroad.policy.quota;

import io.lavenderroad.model.Quota;

/**
 * Times and limits that the granting leader and the nodes share. The bound of a team in a
 * window of 5 s is 1.1 times (rate x 5 + burst), plus 20 requests. What exceeds the token
 * bucket is the overshoot. It is divided between tokens granted in advance and late use
 * of the others.
 */
public final class QuotaTimes {

	/**
	 * Length of the window in which the requests of a team are bounded, milliseconds.
	 */
	public static final long WINDOW_MILLIS = 5_000;

	/**
	 * Life of a token that was granted in advance, milliseconds from sending the request
	 * for it.
	 */
	public static final long ADVANCE_TOKEN_MILLIS = 1_000;

	/**
	 * Life of a token that was granted for a waiting request. The time from the grant to
	 * the use adds to the window, so it is kept short.
	 */
	public static final long IMMEDIATE_TOKEN_MILLIS = 200;

	/**
	 * Time for which a node continues without a leader, milliseconds.
	 */
	public static final long FALLBACK_MILLIS = 10_000;

	/**
	 * Part of the overshoot reserved for late use, in seconds of the rate: the life of an
	 * immediate token and 50 ms for the way to the backend server.
	 */
	private static final double LATE_USE_SECONDS = 0.25;

	private static final double MINIMUM_BURST_SECONDS = 0.25;

	private QuotaTimes() {
	}

	/**
	 * Returns the capacity of the token bucket.
	 * @param quota the quota
	 * @return requests
	 */
	public static double capacity(Quota quota) {
		return Math.max(1, Math.max(quota.burst(), MINIMUM_BURST_SECONDS * quota.requestsPerSecond()));
	}

	/**
	 * Returns the maximum number of requests that may arrive at servers within a window.
	 * @param quota the quota
	 * @return requests
	 */
	public static double windowBound(Quota quota) {
		return (quota.requestsPerSecond() * WINDOW_MILLIS / 1000 + quota.burst()) * 1.1 + 20;
	}

	/**
	 * Returns the maximum number of tokens that are granted in advance and not yet
	 * reported as used: half of the overshoot, less if late use needs more.
	 * @param quota the quota
	 * @return tokens
	 */
	public static double advanceLimit(Quota quota) {
		double overshoot = windowBound(quota) - quota.requestsPerSecond() * WINDOW_MILLIS / 1000 - capacity(quota);
		return Math.max(0, Math.min(overshoot / 2, overshoot - LATE_USE_SECONDS * quota.requestsPerSecond()));
	}

}
