package io.lavenderroad.policy.moves;

/**
 * Statistic that is compared between versions. A new version is tolerated while its event
 * share is at most {@code ratio * old share + slack}.
 */
public enum Signal {

	/**
	 * Calls that failed.
	 */
	ERRORS(1.5, 0.001, 0.4, 2, "errors"),

	/**
	 * Calls refused as "not run". They have half the maximum gain of errors, since
	 * nothing is lost by them and each failed VM causes some until its lease expires.
	 */
	REFUSALS(2.0, 0.02, 0.1, 1, "refusals"),

	/**
	 * Calls slower than the histogram bucket above the median of the old version.
	 */
	SLOW(1.6, 0.05, 0.25, 2, "calls above the old median"),

	/**
	 * Calls slower than the histogram bucket above the 95th percentile of the old
	 * version.
	 */
	VERY_SLOW(2.0, 0.01, 0.25, 2, "calls above the old 95th percentile");

	private final double ratio;

	private final double slack;

	private final double weight;

	private final double maximumGain;

	private final String label;

	Signal(double ratio, double slack, double weight, double maximumGain, String label) {
		this.ratio = ratio;
		this.slack = slack;
		this.weight = weight;
		this.maximumGain = maximumGain;
		this.label = label;
	}

	double ratio() {
		return this.ratio;
	}

	double slack() {
		return this.slack;
	}

	double weight() {
		return this.weight;
	}

	/**
	 * Returns the maximum logarithmic gain of a window of one second or more; shorter
	 * windows add proportionally less. With a maximum of 2, four seconds yield at most
	 * {@code exp(8) / 4 = 745}, which is below the threshold of 1,000. A version is
	 * therefore withdrawn at the earliest after the three-second lease of a failed VM has
	 * expired, when its endpoints no longer get calls. A maximum of 2.5 is too high for
	 * that.
	 * @return natural logarithm of the maximum factor
	 */
	double maximumGain() {
		return this.maximumGain;
	}

	/**
	 * Returns the name used in reasons and statistics.
	 * @return text for operators
	 */
	public String label() {
		return this.label;
	}

	boolean comparesLatency() {
		return this == SLOW || this == VERY_SLOW;
	}

}
