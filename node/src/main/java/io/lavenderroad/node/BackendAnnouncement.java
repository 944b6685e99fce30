package io.lavenderroad.node;

import java.util.Objects;

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

	public BackendAnnouncement {
		Objects.requireNonNull(backendId, "backendId");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(version, "version");
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
