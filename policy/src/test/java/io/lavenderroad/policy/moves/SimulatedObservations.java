package io.lavenderroad.policy.moves;

import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.Observations;

/**
 * Observations with given counts and a single latency, for tests.
 */
final class SimulatedObservations {

	private SimulatedObservations() {
	}

	/**
	 * Returns observations of calls with equal latency.
	 * @param calls number of calls
	 * @param errors number of failed calls
	 * @param millis latency of each call
	 * @return the observations
	 */
	static Observations of(long calls, long errors, double millis) {
		long[] counts = new long[LatencyHistogram.BUCKETS];
		counts[LatencyHistogram.bucketOf(millis)] = calls;
		return new Observations(calls, errors, 0, LatencyHistogram.of(counts));
	}

}
