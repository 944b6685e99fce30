package io.lavenderroad.policy.moves;

/**
 * What is compared between versions. A new version is tolerated while its share of events
 * is at most {@code ratio * old share + slack}.
 */
public enum Signal {

	/**
	 * Calls that failed.
	 */
	ERRORS(1.5, 0.001, 0.4, 2, "errors"),

	/**
	 * Calls refused as "not run". They count half as fast as errors: nothing is lost by
	 * them, and each failed VM causes some until its lease ends.
	 */
	REFUSALS(2.0, 0.02, 0.1, 1, "refusals"),

	/**
	 * Calls slower than the bucket above the median of the old version.
	 */
	SLOW(1.6, 0.05, 0.25, 2, "calls above the old median"),

	/**
	 * Calls slower than the bucket above the 95th percentile of the old version.
	 */
	VERY_SLOW(2.0, 0.01, 0.25, 2, "calls above the old 95th percentile");

	private final double ratio;

	private final double slack;

	private final double weight;

	private final double limit;

	private final String label;

	Signal(double ratio, double slack, double weight, double limit, String label) {
		this.ratio = ratio;
		this.slack = slack;
		this.weight = weight;
		this.limit = limit;
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
	 * Returns the largest logarithm that a window of one second or more may add; shorter
	 * windows add less. At two, four seconds make at most {@code exp(8) / 4 = 745}, which
	 * is below the bound of 1,000, so that a version is withdrawn after the three-second
	 * lease of a failed VM at the earliest, when its endpoints get no calls any more. 2.5
	 * was too much.
	 * @return the logarithm
	 */
	double limit() {
		return this.limit;
	}

	/**
	 * Returns the name used in figures.
	 * @return words for an operator
	 */
	public String label() {
		return this.label;
	}

	boolean comparesLatency() {
		return this == SLOW || this == VERY_SLOW;
	}

}
