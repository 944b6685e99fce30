package io.lavenderroad.policy.calls;

/**
 * Share of the offered calls that were admitted, weighted by age. Not thread-safe.
 */
final class AdmittedShare {

	/**
	 * Age at which a call counts 1/e. Long enough to average over the bursts of a few
	 * callers, and shorter than a shortage that callers notice.
	 */
	private static final double SMOOTHING_MILLIS = 500;

	/**
	 * Number of admitted calls that are assumed, so that a single refusal in a time with
	 * few calls is no shortage.
	 */
	private static final double ASSUMED_CALLS = 1;

	private double offered;

	private double admitted;

	private long updatedMillis;

	void add(boolean isAdmitted, long nowMillis) {
		decay(nowMillis);
		this.offered++;
		this.admitted += isAdmitted ? 1 : 0;
	}

	/**
	 * Returns the share.
	 * @param nowMillis clock reading in milliseconds
	 * @return above 0, at most 1
	 */
	double share(long nowMillis) {
		decay(nowMillis);
		return (this.admitted + ASSUMED_CALLS) / (this.offered + ASSUMED_CALLS);
	}

	private void decay(long nowMillis) {
		double factor = Math.exp(-Math.max(0, nowMillis - this.updatedMillis) / SMOOTHING_MILLIS);
		this.updatedMillis = nowMillis;
		this.offered *= factor;
		this.admitted *= factor;
	}

}
