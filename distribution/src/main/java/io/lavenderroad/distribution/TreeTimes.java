package io.lavenderroad.distribution;

/**
 * Intervals, timeouts and rates of the relay tree. Times are in milliseconds.
 */
final class TreeTimes {

	/**
	 * Interval of heartbeats in each direction.
	 */
	static final long HEARTBEAT_MILLIS = 500;

	/**
	 * A relay forwards a heartbeat when one arrives from its parent, so that the age of
	 * the last root confirmation does not grow by one interval per hop. It sends a
	 * heartbeat of its own only if none arrived for this time.
	 */
	static final long LOCAL_HEARTBEAT_MILLIS = 600;

	/**
	 * Time without a message after which a peer counts as lost. A child has to detect the
	 * loss of its parent, attach elsewhere and catch up within 2 s, so that a change that
	 * was accepted meanwhile becomes active in time.
	 */
	static final long SILENCE_LIMIT_MILLIS = 1_200;

	/**
	 * Age of the last root confirmation above which a child leaves its parent.
	 */
	static final long ROOT_AGE_LIMIT_MILLIS = 3_000;

	/**
	 * Increase of this limit for each hop below the first, so that not all nodes of a
	 * subtree search at the same time. At depth 3 a node starts to search after 4 s.
	 */
	static final long ROOT_AGE_PER_HOP_MILLIS = 500;

	/**
	 * Interval of the checks for silent peers and, in a root, for expired leases.
	 */
	static final long CHECK_MILLIS = 250;

	/**
	 * Interval of the checks of a relay for expired leases, which last for seconds.
	 */
	static final long LEASE_CHECK_MILLIS = 1_000;

	/**
	 * Interval of reports.
	 */
	static final long REPORT_MILLIS = 1_000;

	/**
	 * Interval of reports while there is evidence to send. A bad version is withdrawn
	 * only after its evidence has reached the leader.
	 */
	static final long EVIDENCE_REPORT_MILLIS = 250;

	/**
	 * Interval of reports in which only the byte counts have changed, as they do
	 * constantly.
	 */
	static final long BYTES_REPORT_MILLIS = 10_000;

	/**
	 * Maximum wait for the response to an attach request. A relay may need
	 * {@link #WIDEN_SCOPE_TIMEOUT_MILLIS} for it; an unresponsive one must not use up the
	 * time within which the tree has to recover.
	 */
	static final long ATTACH_TIMEOUT_MILLIS = 1_500;

	/**
	 * Initial and maximum bound of the wait before a node that has just started requests
	 * the version floor again. Relays coalesce the requests of their children.
	 */
	static final long FLOOR_RETRY_MILLIS = 50;

	static final long FLOOR_RETRY_LIMIT_MILLIS = 400;

	/**
	 * Maximum wait of a new relay for the services that its children need.
	 */
	static final long WIDEN_SCOPE_TIMEOUT_MILLIS = 1_000;

	/**
	 * Time for which a redirected caller counts as a node below the target. Its
	 * attachment appears in the reports after two intervals; otherwise a mass restart
	 * would send all callers to the same relay.
	 */
	static final long REDIRECT_RETENTION_MILLIS = 2_000;

	/**
	 * Time for which evidence is kept without a receiver.
	 */
	static final long EVIDENCE_RETENTION_MILLIS = 5_000;

	/**
	 * Time for which an endpoint is kept that the parent does not have. The parent may
	 * itself be waiting for announcements after a restart.
	 */
	static final long UNCONFIRMED_RETENTION_MILLIS = 30_000;

	/**
	 * Interval of the removal of old entries of the registry.
	 */
	static final long CLEANUP_MILLIS = 10_000;

	/**
	 * Maximum wait for a response of a peer.
	 */
	static final long CALL_TIMEOUT_MILLIS = 3_000;

	/**
	 * Time after the loss or restart of a parent at which a control member expires the
	 * endpoints below it.
	 */
	static final long ORPHAN_TIMEOUT_MILLIS = 5_000;

	/**
	 * Attach requests that a relay serves per second.
	 */
	static final int RELAY_ATTACHES_PER_SECOND = 100;

	/**
	 * Attach requests that a root serves per second. Three roots serve 7,800 nodes in 5.2
	 * s.
	 */
	static final int ROOT_ATTACHES_PER_SECOND = 500;

	private TreeTimes() {
	}

}
