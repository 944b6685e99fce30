package io.lavenderroad.node;

import java.util.Objects;

/**
 * What a backend server says of itself.
 *
 * @param backendId id of the backend server; another start may have the same one
 * @param bornMillis start of the backend server, milliseconds since the epoch
 * @param sequence rises with each announcement of one start
 * @param service service that it serves
 * @param version version of its software
 * @param slots requests that it runs at the same time
 * @param leaving whether it is about to leave
 * @param coldMillis how much longer it is slow after its start
 */
public record BackendAnnouncement(String backendId, long bornMillis, long sequence, String service, String version,
		int slots, boolean leaving, long coldMillis) {

	public BackendAnnouncement {
		Objects.requireNonNull(backendId, "backendId");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(version, "version");
	}

	/**
	 * Tells whether this announcement replaces another one: the later start wins, and
	 * within one start the larger sequence.
	 * @param other the announcement known so far
	 * @return true if this one is newer
	 */
	boolean replaces(BackendAnnouncement other) {
		if (this.bornMillis != other.bornMillis) {
			return this.bornMillis > other.bornMillis;
		}
		return this.backendId.equals(other.backendId) && this.sequence > other.sequence;
	}

}
