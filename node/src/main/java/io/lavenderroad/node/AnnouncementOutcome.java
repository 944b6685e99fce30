package io.lavenderroad.node;

import java.util.Objects;

/**
 * Whether this node acknowledges what a backend server has announced.
 *
 * @param kind kind of the outcome
 * @param reason why it is not acknowledged, empty if it is
 */
public record AnnouncementOutcome(Kind kind, String reason) {

	/**
	 * The node has acted on the announcement, or knows a newer one.
	 */
	public static final AnnouncementOutcome ACKNOWLEDGED = new AnnouncementOutcome(Kind.ACKNOWLEDGED, "");

	public AnnouncementOutcome {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(reason, "reason");
	}

	static AnnouncementOutcome refused(String reason) {
		return new AnnouncementOutcome(Kind.REFUSED, reason);
	}

	static AnnouncementOutcome unconfirmed(String reason) {
		return new AnnouncementOutcome(Kind.UNCONFIRMED, reason);
	}

	/**
	 * Kind of an outcome.
	 */
	public enum Kind {

		/**
		 * The announcement is acknowledged.
		 */
		ACKNOWLEDGED,

		/**
		 * No backend server on this VM can have sent the announcement.
		 */
		REFUSED,

		/**
		 * The node acts on the announcement, but may forget it when it ends. The backend
		 * server should announce it again.
		 */
		UNCONFIRMED

	}

}
