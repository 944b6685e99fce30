package io.lavenderroad.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.tinylog.Logger;

/**
 * Announcements that arrived before the departures on this VM were known. Not
 * thread-safe.
 */
final class EarlyAnnouncements {

	/**
	 * Maximum number of announcements that wait, as many as a backend server sends in
	 * half a minute.
	 */
	private static final int MAXIMUM_ANNOUNCEMENTS = 20;

	private final List<BackendAnnouncement> waiting = new ArrayList<>();

	private boolean departuresKnown = true;

	boolean departuresKnown() {
		return this.departuresKnown;
	}

	/**
	 * Lets announcements wait from now on.
	 */
	void begin() {
		this.departuresKnown = false;
	}

	/**
	 * Adds an announcement; the oldest one is dropped if there are too many.
	 * @param announcement the announcement
	 */
	void add(BackendAnnouncement announcement) {
		Logger.info("node: Announcement {} of {} waits until the departures on this VM are known.",
				announcement.sequence(), announcement.backendId());
		this.waiting.add(announcement);
		if (this.waiting.size() > MAXIMUM_ANNOUNCEMENTS) {
			this.waiting.removeFirst();
		}
	}

	/**
	 * Passes on what has waited, oldest first. No announcement waits any more.
	 * @param receiver receiver of the announcements
	 */
	void end(Consumer<BackendAnnouncement> receiver) {
		this.departuresKnown = true;
		this.waiting.forEach(receiver);
		this.waiting.clear();
	}

}
