package io.lavenderroad.policy.calls;

import io.lavenderroad.model.ConfigurationFreshness;

/**
 * Says whether a node may state that there is no route for a request, and how long the
 * request may wait until it can. The load it answers is requests for routes that were
 * just added, at a node that has lost its parent or is about to receive a change: it does
 * not know that there is no route, only that it has none.
 */
public final class AbsentRoute {

	/**
	 * Age of the last word from a root up to which the node counts as current. A change
	 * has to be in force within 2 s, so an older word may have missed one.
	 */
	static final long WORD_LIMIT_MILLIS = 1_500;

	/**
	 * Longest wait of a request. Most nodes hear from a root again within it.
	 */
	static final long LONGEST_WAIT_MILLIS = 400;

	/**
	 * Part of the time of a request that is left for running it: it waits for at most one
	 * in this many.
	 */
	static final int SHARE_OF_DEADLINE = 3;

	private AbsentRoute() {
	}

	/**
	 * Tells whether a route that is not in the configuration does not exist.
	 * @param heldVersion version of the configuration that lacks the route
	 * @param freshness what the node knows of how current that version is
	 * @return false if a newer version may have the route
	 */
	public static boolean isCertain(long heldVersion, ConfigurationFreshness freshness) {
		return freshness.newestVersion() <= heldVersion && freshness.rootAgeMillis() <= WORD_LIMIT_MILLIS;
	}

	/**
	 * Returns how long a request may wait for a newer version or a word that there is
	 * none.
	 * @param deadlineMillis time that the caller allows for the request
	 * @return milliseconds
	 */
	public static long waitMillis(long deadlineMillis) {
		return Math.clamp(deadlineMillis / SHARE_OF_DEADLINE, 0, LONGEST_WAIT_MILLIS);
	}

}
