package io.lavenderroad.node;

import io.lavenderroad.core.Clock;
import org.tinylog.Logger;

/**
 * Writes the lines of single requests, up to a bound for each second. What is beyond the
 * bound is counted and said in one line; the figures of its routes are in
 * {@link AdmissionFigures} and {@link NodeMetrics}.
 */
final class RequestLog {

	/**
	 * Lines of a second. Two hundred lines are about 40 KB.
	 */
	static final int MOST_LINES = 200;

	private static final long SECOND_MILLIS = 1_000;

	private final Clock clock;

	private long startMillis;

	private int written;

	private int leftOut;

	RequestLog(Clock clock) {
		this.clock = clock;
		this.startMillis = clock.millis();
	}

	/**
	 * Writes a line, if there is room for it.
	 * @param message text with places for the arguments
	 * @param arguments the arguments
	 */
	void write(String message, Object... arguments) {
		if (take()) {
			Logger.info(message, arguments);
		}
	}

	private synchronized boolean take() {
		long now = this.clock.millis();
		if (now - this.startMillis >= SECOND_MILLIS) {
			if (this.leftOut > 0) {
				Logger.warn("node: Left out {} lines on single requests in {} ms.", this.leftOut,
						now - this.startMillis);
			}
			this.startMillis = now;
			this.written = 0;
			this.leftOut = 0;
		}
		if (this.written >= MOST_LINES) {
			this.leftOut++;
			return false;
		}
		this.written++;
		return true;
	}

	/**
	 * Returns the lines that were left out in the present second.
	 * @return count
	 */
	synchronized int leftOut() {
		return this.leftOut;
	}

}
