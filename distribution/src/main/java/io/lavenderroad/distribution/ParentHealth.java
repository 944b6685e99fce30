package io.lavenderroad.distribution;

/**
 * Health of the parent of a process, which decides whether the child stays attached.
 */
enum ParentHealth {

	/**
	 * The child stays attached.
	 */
	HEALTHY,

	/**
	 * The parent is leaving or has lost contact with the root. The child stays attached
	 * until another parent accepts.
	 */
	REPLACE,

	/**
	 * The parent is disconnected, silent or part of a loop. The child detaches
	 * immediately.
	 */
	LOST;

	/**
	 * Determines the health.
	 * @param open whether the connection is open
	 * @param pathUsable whether the path from the root has no loop
	 * @param leaving whether the parent announced that it is leaving
	 * @param silenceMillis time since the last message of the parent
	 * @param rootAgeMillis age of the last root confirmation at the parent
	 * @param hops length of the path from the root to the parent
	 * @return the health
	 */
	static ParentHealth of(boolean open, boolean pathUsable, boolean leaving, long silenceMillis, long rootAgeMillis,
			int hops) {
		if (!open || !pathUsable || silenceMillis > TreeTimes.SILENCE_LIMIT_MILLIS) {
			return LOST;
		}
		// The age exceeds the limit in the whole subtree at the same time. The limit
		// grows with the number of hops, so that the relays next to the root move first
		// and their subtrees stay attached to them.
		long limitMillis = TreeTimes.ROOT_AGE_LIMIT_MILLIS + (hops - 1) * TreeTimes.ROOT_AGE_PER_HOP_MILLIS;
		return (leaving || rootAgeMillis > limitMillis) ? REPLACE : HEALTHY;
	}

}
