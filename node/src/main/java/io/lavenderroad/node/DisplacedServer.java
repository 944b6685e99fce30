package io.lavenderroad.node;

/**
 * Detects that a backend server was displaced by an entry of another writer: it goes on
 * announcing under its own start that it is ready. Announcements that were sent before
 * the entry and arrive late look the same, so only those count that cannot be late, or
 * where being wrong has no consequence. Not thread-safe.
 */
final class DisplacedServer {

	/**
	 * Number of announcements after which the backend server is known to go on.
	 */
	static final int MINIMUM_ANNOUNCEMENTS = 2;

	private final long minimumGapMillis;

	private final long maximumDelayMillis;

	private BackendAnnouncement last;

	private long lastMillis;

	private int count;

	/**
	 * Creates a detector without a displaced backend server.
	 * @param minimumGapMillis minimum time between two announcements that count; shorter
	 * than the time between the announcements of a backend server
	 * @param maximumDelayMillis how late an announcement may arrive
	 */
	DisplacedServer(long minimumGapMillis, long maximumDelayMillis) {
		this.minimumGapMillis = minimumGapMillis;
		this.maximumDelayMillis = maximumDelayMillis;
	}

	/**
	 * Records that an announcement replaces the one of a backend server in use.
	 * @param previous the announcement before it
	 * @param next the new current announcement
	 * @param elapsedMillis time since the arrival of the previous one
	 */
	void replaced(BackendAnnouncement previous, BackendAnnouncement next, long elapsedMillis) {
		current(next);
		if (mayBeOfAnotherWriter(previous, next, elapsedMillis)) {
			this.last = previous;
		}
	}

	/**
	 * Records an announcement that becomes the current one while no backend server is in
	 * use, or that ends the use of the current one. Later ones of the same start that are
	 * ready contradict it if it leaves.
	 * @param next the current announcement
	 */
	void current(BackendAnnouncement next) {
		this.count = 0;
		this.last = next.leaving() ? next : null;
	}

	/**
	 * Forgets the displaced backend server if it has left.
	 * @param backendId id of a backend server that has left
	 */
	void left(String backendId) {
		if (this.last != null && this.last.backendId().equals(backendId)) {
			this.last = null;
		}
	}

	/**
	 * Records an announcement that does not count as it stands.
	 * @param announcement the announcement
	 * @param nowMillis milliseconds of the clock
	 * @return true if its sender is the running backend server
	 */
	boolean goesOn(BackendAnnouncement announcement, long nowMillis) {
		if (this.last == null || announcement.leaving() || !announcement.isOfSameStart(this.last)
				|| announcement.sequence() <= this.last.sequence()) {
			return false;
		}
		if (this.count > 0 && nowMillis - this.lastMillis < this.minimumGapMillis) {
			return false;
		}
		this.count++;
		this.last = announcement;
		this.lastMillis = nowMillis;
		return this.count >= MINIMUM_ANNOUNCEMENTS;
	}

	// Returns whether announcements of the previous start, sent after the previous one,
	// show that it goes on. For another id they need not be certain, since a backend
	// server refuses requests for another id; nor for a later start under the same id
	// that is ready, since its next announcement counts at once. Within one start, a
	// sequence number that is further ahead than delayed announcements explain shows
	// another writer.
	private boolean mayBeOfAnotherWriter(BackendAnnouncement previous, BackendAnnouncement next, long elapsedMillis) {
		if (!previous.backendId().equals(next.backendId())) {
			return true;
		}
		if (!previous.isOfSameStart(next)) {
			return !next.leaving();
		}
		long possibleSteps = (elapsedMillis + this.maximumDelayMillis) / this.minimumGapMillis + 1;
		return next.sequence() - previous.sequence() > possibleSteps;
	}

}
