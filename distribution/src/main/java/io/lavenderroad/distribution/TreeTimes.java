package io.lavenderroad.distribution;

/**
 * Times of the relay tree, all in milliseconds.
 */
final class TreeTimes {

	/**
	 * Interval of heartbeats in each direction.
	 */
	static final long HEARTBEAT_MILLIS = 500;

	/**
	 * A relay passes on a heartbeat when one arrives from above, so that the stated age
	 * of the root does not grow by one interval per hop. It sends one of its own only if
	 * none arrived for this time.
	 */
	static final long OWN_HEARTBEAT_MILLIS = 600;

	/**
	 * Silence after which a peer is considered dead. A child has to notice the death of
	 * its parent, attach elsewhere and catch up within 2 s, so that a change that was
	 * accepted meanwhile is in force in time.
	 */
	static final long SILENCE_LIMIT_MILLIS = 1_200;

	/**
	 * Age of the last contact with a root above which a parent is left.
	 */
	static final long ROOT_AGE_LIMIT_MILLIS = 3_000;

	/**
	 * Added to the limit for each hop below the first, so that a whole subtree does not
	 * search at once. At depth 3 a node starts to search after 4 s.
	 */
	static final long ROOT_AGE_PER_HOP_MILLIS = 500;

	/**
	 * Interval of the checks for silence, and of those of a root for leases.
	 */
	static final long CHECK_MILLIS = 250;

	/**
	 * Interval of the checks of a relay for leases, which last for seconds.
	 */
	static final long LEASE_CHECK_MILLIS = 1_000;

	/**
	 * Interval of reports.
	 */
	static final long REPORT_MILLIS = 1_000;

	/**
	 * Interval of reports while there is evidence. A bad version is taken back only after
	 * its evidence has come to the leader.
	 */
	static final long EVIDENCE_REPORT_MILLIS = 250;

	/**
	 * Byte counts change all the time and are reported at this interval if nothing else
	 * is new.
	 */
	static final long BYTES_REPORT_MILLIS = 10_000;

	/**
	 * Longest wait for the answer to an attach request. A relay may need
	 * {@link #WIDEN_MILLIS} for it; a hung one must not use up the time in which the tree
	 * has to heal.
	 */
	static final long ATTACH_TIMEOUT_MILLIS = 1_500;

	/**
	 * Shortest and longest wait before a node that has just started asks for the version
	 * floor again. Relays combine the requests of their children.
	 */
	static final long FLOOR_RETRY_MILLIS = 50;

	static final long FLOOR_RETRY_LIMIT_MILLIS = 400;

	/**
	 * Longest wait of a new relay for the services that its children need.
	 */
	static final long WIDEN_MILLIS = 1_000;

	/**
	 * How long a redirected caller counts as a node below the target. Its attachment
	 * shows in the reports after two intervals; without this memory, a mass restart sends
	 * everybody to the same relay.
	 */
	static final long REDIRECT_MEMORY_MILLIS = 2_000;

	/**
	 * How long evidence is kept while there is nobody to send it to.
	 */
	static final long EVIDENCE_MILLIS = 5_000;

	/**
	 * How long an endpoint is kept that the parent does not know. The parent may itself
	 * be waiting for announcements after a restart.
	 */
	static final long UNCONFIRMED_MILLIS = 30_000;

	/**
	 * Interval of the removal of old entries of the registry.
	 */
	static final long CLEANUP_MILLIS = 10_000;

	/**
	 * Longest wait for an answer of a peer.
	 */
	static final long CALL_TIMEOUT_MILLIS = 3_000;

	/**
	 * Age of a parent of endpoints after which a control member expires them.
	 */
	static final long ORPHAN_MILLIS = 5_000;

	/**
	 * Attach requests that a relay serves per second.
	 */
	static final int RELAY_ATTACHES_PER_SECOND = 100;

	/**
	 * Attach requests that a root serves per second. With 3 roots, 7,800 nodes find their
	 * way past the roots in 5.2 s.
	 */
	static final int ROOT_ATTACHES_PER_SECOND = 500;

	private TreeTimes() {
	}

}
