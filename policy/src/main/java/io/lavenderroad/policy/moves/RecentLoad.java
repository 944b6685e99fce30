package io.lavenderroad.policy.moves;

import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.Observations;

/**
 * Exponentially weighted averages over about the last minute, so that past failures and
 * surges soon stop having an effect.
 *
 * @param callsPerSecond calls and refusals of both versions per second
 * @param oldCalls weighted calls of the old version
 * @param oldErrors weighted errors of the old version
 * @param oldMillis weighted sum of latencies of the old version, in milliseconds
 */
record RecentLoad(double callsPerSecond, double oldCalls, double oldErrors, double oldMillis) {

	static final RecentLoad NONE = new RecentLoad(0, 0, 0, 0);

	private static final double RATE_TIME_CONSTANT_SECONDS = 10;

	private static final double SHARE_TIME_CONSTANT_SECONDS = 30;

	/**
	 * Geometric mean of a histogram bucket, relative to its upper bound.
	 */
	private static final double BUCKET_MEAN_FACTOR = Math.pow(2, -0.25);

	/**
	 * Error-free calls that are assumed before anything was observed.
	 */
	private static final double PRIOR_CALLS = 500;

	/**
	 * Adds a window.
	 * @param totalCalls calls and refusals of both versions
	 * @param oldVersion observations of the old version
	 * @param seconds length of the window
	 * @return the averages including this window
	 */
	RecentLoad plus(long totalCalls, Observations oldVersion, double seconds) {
		if (seconds <= 0) {
			return this;
		}
		double rateWeight = (this.callsPerSecond == 0) ? 1 : 1 - Math.exp(-seconds / RATE_TIME_CONSTANT_SECONDS);
		double rate = this.callsPerSecond + rateWeight * (totalCalls / seconds - this.callsPerSecond);
		double decay = Math.exp(-seconds / SHARE_TIME_CONSTANT_SECONDS);
		return new RecentLoad(rate, this.oldCalls * decay + oldVersion.calls(),
				this.oldErrors * decay + oldVersion.errors(),
				this.oldMillis * decay + sumMillis(oldVersion.latencies()));
	}

	/**
	 * Returns the smoothed error share of the old version.
	 * @return 0 to 1
	 */
	double oldErrorShare() {
		return (this.oldErrors + 0.5) / (this.oldCalls + PRIOR_CALLS);
	}

	/**
	 * Returns the number of slots that the calls keep busy, computed by Little's law from
	 * the call rate and the mean latency of the old version.
	 * @return slots of standard speed, 0 without observations
	 */
	double demandSlots() {
		return (this.oldCalls > 0) ? this.callsPerSecond * this.oldMillis / this.oldCalls / 1_000 : 0;
	}

	private static double sumMillis(LatencyHistogram latencies) {
		long[] counts = latencies.counts();
		double sum = 0;
		for (int bucket = 0; bucket < counts.length; bucket++) {
			sum += counts[bucket] * LatencyHistogram.upperBoundMillis(bucket) * BUCKET_MEAN_FACTOR;
		}
		return sum;
	}

}
