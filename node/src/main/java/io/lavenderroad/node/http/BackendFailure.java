package io.lavenderroad.node.http;

import java.util.Objects;

/**
 * Why there is no complete response from the backend server.
 *
 * @param kind kind of the failure
 * @param reason short description, which becomes part of the answer to the caller
 */
public record BackendFailure(Kind kind, String reason) {

	static final BackendFailure UNREACHABLE = new BackendFailure(Kind.UNREACHABLE,
			"backend server refused the connection");

	static final BackendFailure NOT_CONNECTED = new BackendFailure(Kind.NOT_CONNECTED,
			"deadline passed before a connection was open");

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
		 * The deadline passed before a connection was open, so the request was not sent.
		 * This says nothing about the backend server.
		 */
		NOT_CONNECTED,

		/**
		 * The response was not complete before the deadline.
		 */
		OVERDUE,

		/**
		 * The caller has disconnected, so the request was cancelled.
		 */
		CANCELLED,

		/**
		 * The connection failed, or the response was malformed or too large.
		 */
		BROKEN

	}

}
