package io.lavenderroad.node;

/**
 * Detects that the current announcement cannot be from the running backend server: an
 * announcement by another writer, with a start or sequence number beyond those of the
 * backend server, supersedes all later ones of the backend server itself. Only
 * announcements that arrive so long after the current one that they cannot have been sent
 * before it are evidence. Earlier ones may be delayed, however many there are.
 */
final class SupersededAnnouncements {

	/**
	 * Number of superseded announcements after which the current one is given up.
	 */
	static final int MINIMUM_ANNOUNCEMENTS = 3;

	private final long minimumGapMillis;

	private final long maximumDelayMillis;

	private BackendAnnouncement last;

	private long lastMillis;

	private int count;

	/**
	 * Creates a detector.
	 * @param minimumGapMillis minimum time between two announcements that count; shorter
	 * than the time between the announcements of a backend server
	 * @param maximumDelayMillis how late an announcement may arrive
	 */
	SupersededAnnouncements(long minimumGapMillis, long maximumDelayMillis) {
		this.minimumGapMillis = minimumGapMillis;
		this.maximumDelayMillis = maximumDelayMillis;
	}

	/**
	 * Records a superseded announcement.
	 * @param announcement the announcement
	 * @param now milliseconds of the clock
	 * @param currentMillis arrival of the current announcement
	 * @return true if its sender must be the running backend server
	 */
	boolean record(BackendAnnouncement announcement, long now, long currentMillis) {
		if (now - currentMillis <= this.maximumDelayMillis) {
			return false;
		}
		if (this.last == null || !announcement.isOfSameStart(this.last)) {
			start(announcement, now);
		}
		else if (announcement.sequence() > this.last.sequence() && now - this.lastMillis >= this.minimumGapMillis) {
			this.count++;
			this.last = announcement;
			this.lastMillis = now;
		}
		return this.count >= MINIMUM_ANNOUNCEMENTS;
	}

	/**
	 * Forgets the recorded announcements, since the current one was renewed.
	 */
	void reset() {
		this.last = null;
		this.count = 0;
	}

	private void start(BackendAnnouncement announcement, long now) {
		this.last = announcement;
		this.lastMillis = now;
		this.count = 1;
	}

}
