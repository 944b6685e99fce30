package io.lavenderroad.distribution;

/**
 * What a child does about its parent.
 */
enum ParentHealth {

	/**
	 * Stay.
	 */
	GOOD,

	/**
	 * Stay until another parent accepts: the parent is leaving or has lost the root.
	 */
	MOVE,

	/**
	 * Detach at once: the parent is dead, silent, or part of a loop.
	 */
	LOST;

	/**
	 * Decides from plain readings.
	 * @param open whether the connection is open
	 * @param pathUsable whether the path from the root has no loop
	 * @param leaving whether the parent said that it is leaving
	 * @param silentMillis time since the last message of the parent
	 * @param rootAgeMillis age of the last contact of the parent with a root
	 * @param hops length of the path from the root to the parent
	 * @return the verdict
	 */
	static ParentHealth of(boolean open, boolean pathUsable, boolean leaving, long silentMillis, long rootAgeMillis,
			int hops) {
		if (!open || !pathUsable || silentMillis > TreeTimes.SILENCE_LIMIT_MILLIS) {
			return LOST;
		}
		// The age passes the limit in the whole subtree at the same time. The relays next
		// to the root move first and take their subtrees with them.
		long limitMillis = TreeTimes.ROOT_AGE_LIMIT_MILLIS + (hops - 1) * TreeTimes.ROOT_AGE_PER_HOP_MILLIS;
		return (leaving || rootAgeMillis > limitMillis) ? MOVE : GOOD;
	}

}
