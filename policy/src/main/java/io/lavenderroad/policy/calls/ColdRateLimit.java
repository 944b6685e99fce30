package io.lavenderroad.policy.calls;

/**
 * Rate limit of a cold backend server: at most a number of starts in any sliding second.
 * It holds the times of the latest starts in a bounded ring. A counter by calendar second
 * would allow twice the rate around the change of the second. Not thread-safe: the caller
 * holds a lock and passes in clock readings.
 */
public final class ColdRateLimit {

	/**
	 * Length of the sliding window.
	 */
	public static final long WINDOW_MILLIS = 1_000;

	/**
	 * Maximum number of starts in a window. It bounds the memory of the ring and is far
	 * above what one backend server runs.
	 */
	static final int MAXIMUM_STARTS = 65_536;

	private long[] starts = new long[0];

	/**
	 * Index of the oldest start, which the next one replaces.
	 */
	private int oldest;

	/**
	 * Returns the number of starts that a rate allows in one window.
	 * @param perSecond rate in starts per second, above 0
	 * @return the rate rounded down, at least 1
	 */
	public static int startsPerWindow(double perSecond) {
		return (int) Math.clamp(Math.floor(perSecond), 1, MAXIMUM_STARTS);
	}

	/**
	 * Records a start if the rate allows it.
	 * @param nowMillis clock reading in milliseconds, not before that of an earlier call
	 * @param perSecond rate in starts per second, above 0
	 * @return whether the call may start
	 */
	public boolean tryStart(long nowMillis, double perSecond) {
		if (waitMillis(nowMillis, perSecond) > 0) {
			return false;
		}
		record(nowMillis, perSecond);
		return true;
	}

	/**
	 * Records a start that the rate does not limit. The starts of the last second count
	 * when the server becomes cold.
	 * @param nowMillis clock reading in milliseconds
	 * @param perSecond rate in starts per second, above 0
	 */
	public void record(long nowMillis, double perSecond) {
		resize(startsPerWindow(perSecond));
		this.starts[this.oldest] = nowMillis;
		this.oldest = (this.oldest + 1) % this.starts.length;
	}

	/**
	 * Returns the time until the next start is possible.
	 * @param nowMillis clock reading in milliseconds
	 * @param perSecond rate in starts per second, above 0
	 * @return milliseconds, 0 if a call may start now
	 */
	public long waitMillis(long nowMillis, double perSecond) {
		resize(startsPerWindow(perSecond));
		// Two readings that differ by the window may be a fraction of a millisecond
		// closer.
		return Math.max(0, this.starts[this.oldest] + WINDOW_MILLIS + 1 - nowMillis);
	}

	// Keeps the latest starts when the configured rate changes.
	private void resize(int size) {
		int previous = this.starts.length;
		if (size == previous) {
			return;
		}
		long[] resized = new long[size];
		for (int index = 0; index < size; index++) {
			int age = size - index;
			resized[index] = (age <= previous) ? this.starts[Math.floorMod(this.oldest - age, previous)]
					: Long.MIN_VALUE / 2;
		}
		this.starts = resized;
		this.oldest = 0;
	}

}
