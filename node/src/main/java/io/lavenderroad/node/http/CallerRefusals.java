package io.lavenderroad.node.http;

import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicLongArray;

import io.lavenderroad.core.Clock;
import org.tinylog.Logger;

/**
 * Counts the requests and connections of callers that are refused or closed, by reason,
 * and logs some of them with the address of the caller.
 */
public final class CallerRefusals {

	/**
	 * Maximum number of log lines of a second over all reasons. A line for each refused
	 * connection of an attack would fill the disk.
	 */
	private static final int MAXIMUM_LINES = 20;

	private static final long SECOND_MILLIS = 1_000;

	private final Clock clock;

	private final AtomicLongArray counts = new AtomicLongArray(Reason.values().length);

	private long windowStartMillis;

	private int lines;

	CallerRefusals(Clock clock) {
		this.clock = clock;
		this.windowStartMillis = clock.millis();
	}

	/**
	 * Returns how often something was refused for a reason.
	 * @param reason the reason
	 * @return count since the start of the process
	 */
	public long count(Reason reason) {
		return this.counts.get(reason.ordinal());
	}

	/**
	 * Records a request that is answered with an error.
	 * @param reason the reason
	 * @param caller address of the caller
	 * @param status status of the answer
	 * @param detail what exceeded the limit
	 */
	void rejected(Reason reason, SocketAddress caller, int status, String detail) {
		this.counts.incrementAndGet(reason.ordinal());
		if (mayLog()) {
			Logger.info("node: Rejected a request from caller {} with status {}: {}.", caller, status, detail);
		}
	}

	/**
	 * Records a connection that is closed.
	 * @param reason the reason
	 * @param caller address of the caller
	 * @param detail what exceeded the limit
	 */
	void closed(Reason reason, SocketAddress caller, String detail) {
		this.counts.incrementAndGet(reason.ordinal());
		if (mayLog()) {
			Logger.info("node: Closed the connection of caller {}: {}.", caller, detail);
		}
	}

	private boolean mayLog() {
		long suppressed = 0;
		synchronized (this) {
			long now = this.clock.millis();
			if (now - this.windowStartMillis >= SECOND_MILLIS) {
				suppressed = this.lines - MAXIMUM_LINES;
				this.windowStartMillis = now;
				this.lines = 0;
			}
			this.lines++;
			if (this.lines > MAXIMUM_LINES) {
				return false;
			}
		}
		if (suppressed > 0) {
			Logger.warn("node: Suppressed {} log lines of refused callers.", suppressed);
		}
		return true;
	}

	/**
	 * Why a request is refused or a connection closed.
	 */
	public enum Reason {

		/**
		 * The head is over its limit: 431.
		 */
		HEAD_TOO_LARGE("head_too_large"),

		/**
		 * The body is over its limit: 413.
		 */
		BODY_TOO_LARGE("body_too_large"),

		/**
		 * The request did not arrive in time: 408.
		 */
		TIMEOUT("timeout"),

		/**
		 * The request is malformed: 400.
		 */
		MALFORMED("malformed"),

		/**
		 * The budget for callers is used up: 503.
		 */
		MEMORY("memory"),

		/**
		 * The connection held most when the budget for callers was used up: closed.
		 */
		HOLDS_MOST("holds_most"),

		/**
		 * The caller did not read its answer for too long: closed.
		 */
		STALLED_READER("stalled_reader"),

		/**
		 * All connections were open and this one was idle for longest: closed.
		 */
		IDLE_AT_LIMIT("idle_at_limit");

		private final String label;

		Reason(String label) {
			this.label = label;
		}

		/**
		 * Returns the name in metrics and log lines.
		 * @return the name
		 */
		public String label() {
			return this.label;
		}

	}

}
