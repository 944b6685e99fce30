package io.lavenderroad.policy.moves;

/**
 * Computes how many calls of the new version the comparison requires.
 */
final class RequiredEvidence {

	/**
	 * Normal quantile for the stated miss rate of 1%.
	 */
	private static final double MISS_RATE_QUANTILE = 2.33;

	/**
	 * Number of one-second windows near the beginning of a fault; the parts of the
	 * mixture that begin in any of them all contribute, so their weights are added.
	 */
	private static final double STARTING_WINDOWS = 5;

	/**
	 * Result if the old version fails so often that a worse version cannot be
	 * distinguished from it.
	 */
	private static final double MAXIMUM_CALLS = 1e12;

	private final double alpha;

	private final double horizonSeconds;

	RequiredEvidence(double alpha, double horizonSeconds) {
		this.alpha = alpha;
		this.horizonSeconds = Math.max(1, horizonSeconds);
	}

	/**
	 * Returns the number of calls after which a version with more errors is detected with
	 * a probability of 99%.
	 * @param oldShare error share of the old version
	 * @param difference error share of the new version above the tolerated one
	 * @param newShareBasisPoints traffic share of the new version in 1/10,000, 1 or more
	 * @param scopeWeight weight of all routes or of one route in the mixture
	 * @param first whether the calls are the first ones of the new version
	 * @return number of calls of the new version
	 */
	double calls(double oldShare, double difference, int newShareBasisPoints, double scopeWeight, boolean first) {
		double newPart = Math.min(newShareBasisPoints, 9_999) / 10_000.0;
		double callRatio = newPart / (1 - newPart);
		double newShare = Math.min(1, Signal.ERRORS.ratio() * oldShare + Signal.ERRORS.slack() + difference);
		double minimum = MAXIMUM_CALLS;
		for (double effect : SequentialComparison.EFFECT_SIZES) {
			SequentialComparison.Bet bet = SequentialComparison.Bet.of(Signal.ERRORS.ratio(), effect, callRatio);
			double oldRate = oldShare / callRatio;
			double drift = newShare * bet.logNew() + oldRate * bet.logOld()
					- Signal.ERRORS.slack() * Math.expm1(bet.logNew());
			double variance = newShare * bet.logNew() * bet.logNew() + oldRate * bet.logOld() * bet.logOld();
			if (drift > 0) {
				minimum = Math.min(minimum, calls(drift, variance, threshold(scopeWeight, first)));
			}
		}
		return Math.ceil(minimum);
	}

	private double threshold(double scopeWeight, boolean first) {
		double start = first ? SequentialComparison.START_WEIGHT
				: Math.min(1, (1 - SequentialComparison.START_WEIGHT) * STARTING_WINDOWS / this.horizonSeconds);
		double weight = Signal.ERRORS.weight() * scopeWeight / SequentialComparison.EFFECT_SIZES.length * start;
		return -Math.log(this.alpha * weight);
	}

	// Solves n * drift - z * sqrt(n * variance) = threshold for n.
	private static double calls(double drift, double variance, double threshold) {
		double spread = MISS_RATE_QUANTILE * Math.sqrt(variance);
		double root = (spread + Math.sqrt(spread * spread + 4 * drift * threshold)) / (2 * drift);
		return root * root;
	}

}
