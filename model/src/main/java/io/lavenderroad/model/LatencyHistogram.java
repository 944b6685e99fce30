package io.lavenderroad.model;

import java.util.Arrays;

/**
 * Immutable latency histogram. The upper bounds of its buckets start at 0.25 ms and grow
 * by a factor of the square root of two. They are the same on all nodes, so that
 * histograms of many nodes can be added.
 */
public final class LatencyHistogram {

	/**
	 * Number of buckets; the last one holds everything above about 5.9 s.
	 */
	public static final int BUCKETS = 32;

	/**
	 * A histogram without values.
	 */
	public static final LatencyHistogram EMPTY = new LatencyHistogram(new long[BUCKETS]);

	private static final double FIRST_BOUND_MILLIS = 0.25;

	private static final double BUCKETS_PER_DOUBLING = 2.0;

	private final long[] counts;

	private LatencyHistogram(long[] counts) {
		this.counts = counts;
	}

	/**
	 * Creates a histogram from counts.
	 * @param counts one count for each bucket
	 * @return the histogram
	 * @throws IllegalArgumentException if the number of counts is not {@link #BUCKETS} or
	 * a count is negative
	 */
	public static LatencyHistogram of(long[] counts) {
		if (counts.length != BUCKETS || Arrays.stream(counts).anyMatch((count) -> count < 0)) {
			throw new IllegalArgumentException("a histogram requires " + BUCKETS + " non-negative counts");
		}
		return new LatencyHistogram(counts.clone());
	}

	/**
	 * Returns the index of the bucket that counts a latency.
	 * @param millis the latency in milliseconds
	 * @return index of the bucket
	 */
	public static int bucketOf(double millis) {
		if (millis <= FIRST_BOUND_MILLIS) {
			return 0;
		}
		double doublings = Math.log(millis / FIRST_BOUND_MILLIS) / Math.log(2);
		return Math.min(BUCKETS - 1, (int) Math.ceil(doublings * BUCKETS_PER_DOUBLING));
	}

	/**
	 * Returns the upper bound of a bucket.
	 * @param bucket index of the bucket
	 * @return the bound in milliseconds
	 */
	public static double upperBoundMillis(int bucket) {
		return FIRST_BOUND_MILLIS * Math.pow(2, bucket / BUCKETS_PER_DOUBLING);
	}

	/**
	 * Returns the counts.
	 * @return a copy, one count for each bucket
	 */
	public long[] counts() {
		return this.counts.clone();
	}

	/**
	 * Returns the number of recorded values.
	 * @return the sum of all counts
	 */
	public long total() {
		return Arrays.stream(this.counts).sum();
	}

	/**
	 * Returns the sum of this and another histogram.
	 * @param other the other histogram
	 * @return the sum of the counts of each bucket
	 */
	public LatencyHistogram plus(LatencyHistogram other) {
		long[] sum = this.counts.clone();
		for (int bucket = 0; bucket < BUCKETS; bucket++) {
			sum[bucket] += other.counts[bucket];
		}
		return new LatencyHistogram(sum);
	}

	/**
	 * Estimates a quantile.
	 * @param quantile the quantile, from 0 to 1
	 * @return upper bound of the bucket that holds the quantile, in milliseconds, or 0 if
	 * the histogram is empty
	 */
	public double quantileMillis(double quantile) {
		long total = total();
		if (total == 0) {
			return 0;
		}
		long rank = Math.max(1, (long) Math.ceil(total * quantile));
		long cumulativeCount = 0;
		for (int bucket = 0; bucket < BUCKETS; bucket++) {
			cumulativeCount += this.counts[bucket];
			if (cumulativeCount >= rank) {
				return upperBoundMillis(bucket);
			}
		}
		return upperBoundMillis(BUCKETS - 1);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof LatencyHistogram histogram && Arrays.equals(this.counts, histogram.counts);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.counts);
	}

	@Override
	public String toString() {
		return total() + " values, p50 " + quantileMillis(0.5) + " ms, p99 " + quantileMillis(0.99) + " ms";
	}

}
