package io.lavenderroad.policy.quota;

import java.util.Arrays;

/**
 * Number of events in the last window of 5 s, in steps of 100 ms. An event is counted for
 * at least the window and at most one step longer.
 */
final class RecentCount {

	private static final long STEP_MILLIS = 100;

	private static final int STEPS = (int) (QuotaTimes.WINDOW_MILLIS / STEP_MILLIS) + 1;

	private final int[] counts = new int[STEPS];

	private long latestStep = Long.MIN_VALUE;

	private int total;

	void add(int events, long nowMillis) {
		advance(nowMillis);
		this.counts[(int) Math.floorMod(this.latestStep, (long) STEPS)] += events;
		this.total += events;
	}

	int sum(long nowMillis) {
		advance(nowMillis);
		return this.total;
	}

	int sumOfLast(long millis, long nowMillis) {
		advance(nowMillis);
		int sum = 0;
		for (long step = 0; step < millis / STEP_MILLIS; step++) {
			sum += this.counts[(int) Math.floorMod(this.latestStep - step, (long) STEPS)];
		}
		return sum;
	}

	private void advance(long nowMillis) {
		long step = Math.floorDiv(nowMillis, STEP_MILLIS);
		if (this.latestStep == Long.MIN_VALUE || step - this.latestStep >= STEPS) {
			Arrays.fill(this.counts, 0);
			this.total = 0;
			this.latestStep = step;
		}
		while (this.latestStep < step) {
			this.latestStep++;
			int index = (int) Math.floorMod(this.latestStep, (long) STEPS);
			this.total -= this.counts[index];
			this.counts[index] = 0;
		}
	}

}
