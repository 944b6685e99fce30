package io.lavenderroad.bench.moves;

import java.util.random.RandomGenerator;

import io.lavenderroad.model.LatencyHistogram;

/**
 * Samples call outcomes from random distributions.
 */
final class OutcomeSampler {

	/**
	 * Variance above which the normal approximation is used.
	 */
	private static final double NORMAL_VARIANCE = 25;

	private static final double[] NORMAL_TABLE = normalTable();

	private static final double TABLE_STEP = 0.01;

	private final RandomGenerator random;

	OutcomeSampler(RandomGenerator random) {
		this.random = random;
	}

	double uniform(double from, double to) {
		return from + (to - from) * this.random.nextDouble();
	}

	double logUniform(double from, double to) {
		return Math.exp(uniform(Math.log(from), Math.log(to)));
	}

	double gaussian() {
		return this.random.nextGaussian();
	}

	long poisson(double mean) {
		if (mean > NORMAL_VARIANCE) {
			return Math.max(0, Math.round(mean + Math.sqrt(mean) * this.random.nextGaussian()));
		}
		double limit = Math.exp(-mean);
		double product = this.random.nextDouble();
		long count = 0;
		while (product > limit) {
			product *= this.random.nextDouble();
			count++;
		}
		return count;
	}

	long binomial(long trials, double probability) {
		if (trials <= 0 || probability <= 0) {
			return 0;
		}
		if (probability >= 1) {
			return trials;
		}
		if (probability > 0.5) {
			return trials - binomial(trials, 1 - probability);
		}
		double variance = trials * probability * (1 - probability);
		if (variance > NORMAL_VARIANCE) {
			long drawn = Math.round(trials * probability + Math.sqrt(variance) * this.random.nextGaussian());
			return Math.clamp(drawn, 0, trials);
		}
		// Skips to the next success; the distances are geometrically distributed.
		double logMiss = Math.log1p(-probability);
		long count = 0;
		double position = Math.floor(Math.log(1 - this.random.nextDouble()) / logMiss) + 1;
		while (position <= trials) {
			count++;
			position += Math.floor(Math.log(1 - this.random.nextDouble()) / logMiss) + 1;
		}
		return count;
	}

	/**
	 * Samples log-normal latencies.
	 * @param calls number of calls
	 * @param medianMillis median in milliseconds
	 * @param sigma standard deviation of the logarithm
	 * @return the histogram
	 */
	LatencyHistogram latencies(long calls, double medianMillis, double sigma) {
		long[] counts = new long[LatencyHistogram.BUCKETS];
		long left = calls;
		double below = 0;
		for (int bucket = 0; bucket < counts.length && left > 0; bucket++) {
			double bound = Math.log(LatencyHistogram.upperBoundMillis(bucket) / medianMillis) / sigma;
			double upTo = (bucket == counts.length - 1) ? 1 : normal(bound);
			counts[bucket] = (upTo >= 1) ? left : binomial(left, (upTo - below) / (1 - below));
			left -= counts[bucket];
			below = upTo;
		}
		return LatencyHistogram.of(counts);
	}

	private static double normal(double value) {
		int index = (int) Math.round(Math.abs(value) / TABLE_STEP);
		double upper = (index < NORMAL_TABLE.length) ? NORMAL_TABLE[index] : 1;
		return (value >= 0) ? upper : 1 - upper;
	}

	// Cumulative distribution for non-negative values, integrated by the midpoint rule.
	// Values beyond the table count as 1.
	private static double[] normalTable() {
		double[] table = new double[600];
		double sum = 0.5;
		for (int index = 0; index < table.length; index++) {
			table[index] = sum;
			double middle = (index + 0.5) * 0.01;
			sum += 0.01 * Math.exp(-middle * middle / 2) / Math.sqrt(2 * Math.PI);
		}
		return table;
	}

}
