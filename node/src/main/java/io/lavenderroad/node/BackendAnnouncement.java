package io.lavenderroad.node;

import java.util.Objects;
import java.util.Optional;

/**
 * Announcement of a backend server about itself.
 *
 * @param backendId id of the backend server; it may be reused by a later start
 * @param startedMillis start of the backend server, milliseconds since the epoch
 * @param sequence sequence number, increasing with each announcement of one start
 * @param service name of the service that it serves
 * @param version version of its software
 * @param slots maximum number of requests that it runs at the same time
 * @param leaving whether it is leaving and gets no new requests
 * @param remainingColdMillis time that remains of its cold start
 */
public record BackendAnnouncement(String backendId, long startedMillis, long sequence, String service, String version,
		int slots, boolean leaving, long remainingColdMillis) {

	/**
	 * One day: the time of day may be set back after a backend server has started.
	 */
	static final long MAXIMUM_CLOCK_STEP_MILLIS = 24 * 60 * 60 * 1_000;

	/**
	 * Sequence numbers need not begin with 1 or be consecutive.
	 */
	private static final long MAXIMUM_SEQUENCE_AT_START = 1_000_000;

	private static final long MINIMUM_INTERVAL_MILLIS = 1;

	public BackendAnnouncement {
		Objects.requireNonNull(backendId, "backendId");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(version, "version");
	}

	/**
	 * Returns why the announcement cannot be from a backend server on this VM: its start
	 * is in the future, or its sequence number is beyond what it can have sent since.
	 * @param timeOfDayMillis time of day of this VM, milliseconds since the epoch
	 * @return the reason, or empty if the announcement is possible
	 */
	Optional<String> implausibility(long timeOfDayMillis) {
		if (this.startedMillis > timeOfDayMillis + MAXIMUM_CLOCK_STEP_MILLIS) {
			return Optional.of("start " + this.startedMillis + " is in the future");
		}
		long age = Math.max(0, timeOfDayMillis - this.startedMillis);
		if (this.sequence > MAXIMUM_SEQUENCE_AT_START + age / MINIMUM_INTERVAL_MILLIS) {
			return Optional.of("sequence number " + this.sequence + " is too large for a start " + age + " ms ago");
		}
		return Optional.empty();
	}

	/**
	 * Returns whether two announcements are from the same start of a backend server.
	 * @param other the other announcement
	 * @return true if id and start are equal
	 */
	boolean isOfSameStart(BackendAnnouncement other) {
		return this.backendId.equals(other.backendId) && this.startedMillis == other.startedMillis;
	}

	/**
	 * Returns a copy that says that the backend server is leaving.
	 * @return the copy
	 */
	BackendAnnouncement asLeaving() {
		return new BackendAnnouncement(this.backendId, this.startedMillis, this.sequence, this.service, this.version,
				this.slots, true, this.remainingColdMillis);
	}

	/**
	 * Returns whether this announcement supersedes another one: the later start wins, and
	 * within one start the larger sequence number.
	 * @param other the current announcement
	 * @return true if this one is newer
	 */
	boolean replaces(BackendAnnouncement other) {
		if (this.startedMillis != other.startedMillis) {
			return this.startedMillis > other.startedMillis;
		}
		return this.backendId.equals(other.backendId) && this.sequence > other.sequence;
	}

}
