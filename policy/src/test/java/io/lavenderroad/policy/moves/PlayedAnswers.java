package io.lavenderroad.policy.moves;

import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.Observations;

/**
 * Observations that tests make up.
 */
final class PlayedAnswers {

	private PlayedAnswers() {
	}

	/**
	 * Returns calls that all took the same time.
	 * @param calls number of calls
	 * @param errors how many of them failed
	 * @param millis latency of each call
	 * @return the observations
	 */
	static Observations of(long calls, long errors, double millis) {
		long[] counts = new long[LatencyHistogram.BUCKETS];
		counts[LatencyHistogram.bucketOf(millis)] = calls;
		return new Observations(calls, errors, 0, LatencyHistogram.of(counts));
	}

}
