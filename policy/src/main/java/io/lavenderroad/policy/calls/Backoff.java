package io.lavenderroad.policy.calls;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter, so that callers that failed at the same time do
 * not retry at the same time.
 *
 * @param firstMillis upper bound of the first pause
 * @param limitMillis upper bound of all pauses
 */
public record Backoff(long firstMillis, long limitMillis) {

	private static final int MAXIMUM_SHIFT = 30;

	/**
	 * Returns the pause before a retry.
	 * @param attempt number of failed attempts, from 1
	 * @param random source of randomness
	 * @return milliseconds from 0 to the bound of this attempt
	 */
	public long pauseMillis(int attempt, RandomGenerator random) {
		int shift = Math.min(MAXIMUM_SHIFT, Math.max(0, attempt - 1));
		long bound = Math.min(this.limitMillis, this.firstMillis << shift);
		return random.nextLong(bound + 1);
	}

}
