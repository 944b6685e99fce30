package io.lavenderroad.node.http;

import java.util.Objects;

/**
 * Why the backend server gave no whole answer.
 *
 * @param kind kind of the failure
 * @param reason short sentence
 */
public record BackendFailure(Kind kind, String reason) {

	static final BackendFailure UNREACHABLE = new BackendFailure(Kind.UNREACHABLE,
			"backend server refused the connection");

	static final BackendFailure OVERDUE = new BackendFailure(Kind.OVERDUE,
			"deadline passed while the call was running");

	static final BackendFailure CANCELLED = new BackendFailure(Kind.CANCELLED,
			"cancelled, because the caller has gone");

	public BackendFailure {
		Objects.requireNonNull(kind, "kind");
		reason = (reason != null) ? reason : "no reason given";
	}

	/**
	 * Kind of a failure.
	 */
	public enum Kind {

		/**
		 * No connection could be opened, so the request was not sent.
		 */
		UNREACHABLE,

		/**
		 * The answer was not there in time.
		 */
		OVERDUE,

		/**
		 * Nobody waits for the answer any longer.
		 */
		CANCELLED,

		/**
		 * The connection broke or the answer was malformed.
		 */
		BROKEN

	}

}
