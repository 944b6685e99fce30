package io.lavenderroad.policy.moves;

import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.Observations;

/**
 * Exponentially weighted averages over the last minute, so that a past failure or surge
 * is soon forgotten.
 *
 * @param callsPerSecond calls and refusals of both versions
 * @param oldCalls weighted calls of the old version
 * @param oldErrors weighted errors of the old version
 * @param oldMillis weighted sum of latencies of the old version, in milliseconds
 */
record RecentLoad(double callsPerSecond, double oldCalls, double oldErrors, double oldMillis) {

	static final RecentLoad NONE = new RecentLoad(0, 0, 0, 0);

	private static final double RATE_SECONDS = 10;

	private static final double SHARE_SECONDS = 30;

	/**
	 * Geometric middle of a bucket as a part of its upper bound.
	 */
	private static final double BUCKET_MEAN = Math.pow(2, -0.25);

	/**
	 * Calls without an error that count before anything was observed.
	 */
	private static final double PRIOR_CALLS = 500;

	/**
	 * Adds a window.
	 * @param all calls and refusals of both versions
	 * @param old observations of the old version
	 * @param seconds length of the window
	 * @return the averages with this window
	 */
	RecentLoad plus(long all, Observations old, double seconds) {
		if (seconds <= 0) {
			return this;
		}
		double rateWeight = (this.callsPerSecond == 0) ? 1 : 1 - Math.exp(-seconds / RATE_SECONDS);
		double rate = this.callsPerSecond + rateWeight * (all / seconds - this.callsPerSecond);
		double keep = Math.exp(-seconds / SHARE_SECONDS);
		return new RecentLoad(rate, this.oldCalls * keep + old.calls(), this.oldErrors * keep + old.errors(),
				this.oldMillis * keep + sumMillis(old.latencies()));
	}

	/**
	 * Returns the error share of the old version.
	 * @return from 0 to 1
	 */
	double oldErrorShare() {
		return (this.oldErrors + 0.5) / (this.oldCalls + PRIOR_CALLS);
	}

	/**
	 * Returns the slots that the calls keep busy, by Little's law from the call rate and
	 * the mean latency of the old version.
	 * @return slots of usual speed, 0 while nothing was observed
	 */
	double demandSlots() {
		return (this.oldCalls > 0) ? this.callsPerSecond * this.oldMillis / this.oldCalls / 1_000 : 0;
	}

	private static double sumMillis(LatencyHistogram latencies) {
		long[] counts = latencies.counts();
		double sum = 0;
		for (int bucket = 0; bucket < counts.length; bucket++) {
			sum += counts[bucket] * LatencyHistogram.upperBoundMillis(bucket) * BUCKET_MEAN;
		}
		return sum;
	}

}
