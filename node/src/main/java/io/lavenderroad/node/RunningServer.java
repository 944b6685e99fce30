package io.lavenderroad.node;

/**
 * Detects which backend server runs on this VM if announcements contradict each other,
 * because an entry of another writer seems to be the newest. Not thread-safe.
 */
final class RunningServer {

	private final SupersededAnnouncements superseded;

	private final DisplacedServer displaced;

	/**
	 * Creates a detector.
	 * @param minimumGapMillis minimum time between two announcements that count; shorter
	 * than the time between the announcements of a backend server
	 * @param maximumDelayMillis how late an announcement may arrive
	 */
	RunningServer(long minimumGapMillis, long maximumDelayMillis) {
		this.superseded = new SupersededAnnouncements(minimumGapMillis, maximumDelayMillis);
		this.displaced = new DisplacedServer(minimumGapMillis, maximumDelayMillis);
	}

	/**
	 * Records that a newer announcement replaces that of a backend server in use.
	 * @param previous the announcement before it
	 * @param next the new current announcement
	 * @param elapsedMillis time since the arrival of the previous one
	 */
	void replaced(BackendAnnouncement previous, BackendAnnouncement next, long elapsedMillis) {
		this.displaced.replaced(previous, next, elapsedMillis);
		this.superseded.reset();
	}

	/**
	 * Records an announcement that becomes the current one while no backend server is in
	 * use, or that ends the use of the current one.
	 * @param next the current announcement
	 */
	void current(BackendAnnouncement next) {
		this.displaced.current(next);
		this.superseded.reset();
	}

	/**
	 * Records that a backend server has deregistered.
	 * @param backendId id of the backend server
	 */
	void left(String backendId) {
		this.displaced.left(backendId);
	}

	/**
	 * Records an announcement of a start that has announced that it is draining.
	 * @param announcement the announcement
	 * @param nowMillis milliseconds of the clock
	 * @return true if that was not true, and the start goes on
	 */
	boolean goesOn(BackendAnnouncement announcement, long nowMillis) {
		return this.displaced.goesOn(announcement, nowMillis);
	}

	/**
	 * Records an announcement that the current one supersedes.
	 * @param announcement the announcement
	 * @param nowMillis milliseconds of the clock
	 * @param currentMillis arrival of the current announcement
	 * @return true if its sender is the running backend server
	 */
	boolean outlives(BackendAnnouncement announcement, long nowMillis, long currentMillis) {
		return this.displaced.goesOn(announcement, nowMillis)
				|| this.superseded.record(announcement, nowMillis, currentMillis);
	}

}
