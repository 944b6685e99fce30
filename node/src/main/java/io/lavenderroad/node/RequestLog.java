package io.lavenderroad.node;

import io.lavenderroad.core.Clock;
import org.tinylog.Logger;

/**
 * Rate-limited log of single requests. Lines above the limit of a second are suppressed
 * and reported as a count; statistics of their routes are in {@link AdmissionStatistics}
 * and {@link NodeMetrics}.
 */
final class RequestLog {

	/**
	 * Maximum number of lines in a second. Two hundred lines are about 40 KB.
	 */
	static final int MAXIMUM_LINES = 200;

	private static final long SECOND_MILLIS = 1_000;

	private final Clock clock;

	private long windowStartMillis;

	private int written;

	private int suppressed;

	RequestLog(Clock clock) {
		this.clock = clock;
		this.windowStartMillis = clock.millis();
	}

	/**
	 * Writes a line unless the limit is reached.
	 * @param message message with placeholders for the arguments
	 * @param arguments the arguments
	 */
	void write(String message, Object... arguments) {
		if (withinLimit()) {
			Logger.info(message, arguments);
		}
	}

	private synchronized boolean withinLimit() {
		long now = this.clock.millis();
		if (now - this.windowStartMillis >= SECOND_MILLIS) {
			if (this.suppressed > 0) {
				Logger.warn("node: Suppressed {} log lines of single requests in {} ms.", this.suppressed,
						now - this.windowStartMillis);
			}
			this.windowStartMillis = now;
			this.written = 0;
			this.suppressed = 0;
		}
		if (this.written >= MAXIMUM_LINES) {
			this.suppressed++;
			return false;
		}
		this.written++;
		return true;
	}

	/**
	 * Returns the number of suppressed lines in the current second.
	 * @return count
	 */
	synchronized int suppressed() {
		return this.suppressed;
	}

}
