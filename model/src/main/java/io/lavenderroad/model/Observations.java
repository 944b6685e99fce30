package io.lavenderroad.model;

/**
 * Results of calls to one version on one route over a period, as seen by the callers.
 *
 * @param calls calls with a final verdict, without those refused as "not run"
 * @param errors calls that failed: status 500 and above, broken connections and timeouts
 * @param refusals calls refused as "not run" by the backend server or its node
 * @param latencies latencies of the calls
 */
public record Observations(long calls, long errors, long refusals, LatencyHistogram latencies) {

	/**
	 * No calls.
	 */
	public static final Observations NONE = new Observations(0, 0, 0, LatencyHistogram.EMPTY);

	/**
	 * Returns the sum of these and other observations.
	 * @param other the other observations
	 * @return the sum
	 */
	public Observations plus(Observations other) {
		return new Observations(this.calls + other.calls, this.errors + other.errors, this.refusals + other.refusals,
				this.latencies.plus(other.latencies));
	}

}
