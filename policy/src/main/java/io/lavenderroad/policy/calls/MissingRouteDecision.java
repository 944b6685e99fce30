package io.lavenderroad.policy.calls;

import io.lavenderroad.model.ConfigurationFreshness;

/**
 * Decides whether a node may answer that there is no route for a request, and how long
 * the request may wait until the node can decide. It handles requests for routes that
 * have just been added, at a node that has lost its parent or is about to receive a
 * change: the route is missing in the configuration of the node, but may exist in a newer
 * version.
 */
public final class MissingRouteDecision {

	/**
	 * Age of the last confirmation from a root up to which the configuration of the node
	 * counts as current. A change must be active within 2 s, so a node with an older
	 * confirmation may have missed one.
	 */
	static final long MAXIMUM_CONFIRMATION_AGE_MILLIS = 1_500;

	/**
	 * Maximum wait of a request. Most nodes receive another confirmation from a root
	 * within this time.
	 */
	static final long MAXIMUM_WAIT_MILLIS = 400;

	/**
	 * A request waits for at most its time limit divided by this number; the remaining
	 * time is left for running it.
	 */
	static final int DEADLINE_DIVISOR = 3;

	private MissingRouteDecision() {
	}

	/**
	 * Returns whether a route that is missing in the configuration of the node does not
	 * exist.
	 * @param activeVersion version of the configuration in which the route is missing
	 * @param freshness how current that version is, as far as the node has been informed
	 * @return false if a newer version may contain the route
	 */
	public static boolean isCertain(long activeVersion, ConfigurationFreshness freshness) {
		return freshness.newestVersion() <= activeVersion
				&& freshness.rootAgeMillis() <= MAXIMUM_CONFIRMATION_AGE_MILLIS;
	}

	/**
	 * Returns how long a request may wait for a newer version or a confirmation that
	 * there is none.
	 * @param deadlineMillis time limit of the caller for the request
	 * @return milliseconds
	 */
	public static long waitMillis(long deadlineMillis) {
		return Math.clamp(deadlineMillis / DEADLINE_DIVISOR, 0, MAXIMUM_WAIT_MILLIS);
	}

}
