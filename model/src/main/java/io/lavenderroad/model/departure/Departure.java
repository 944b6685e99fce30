package io.lavenderroad.model.departure;

import java.util.Objects;

/**
 * A start of a backend server that gets no more requests because it has announced that it
 * leaves.
 *
 * @param backendId id of the backend server; a later start may have the same one
 * @param startedMillis the start, milliseconds since the epoch
 * @param kind how the backend server left
 */
public record Departure(String backendId, long startedMillis, Kind kind) {

	/**
	 * Maximum length of the id of a backend server.
	 */
	public static final int MAXIMUM_ID_LENGTH = 256;

	public Departure {
		Objects.requireNonNull(backendId, "backendId");
		Objects.requireNonNull(kind, "kind");
		if (backendId.length() > MAXIMUM_ID_LENGTH) {
			throw new IllegalArgumentException(
					"id of " + backendId.length() + " characters is over the limit of " + MAXIMUM_ID_LENGTH);
		}
	}

	/**
	 * How a backend server left.
	 */
	public enum Kind {

		/**
		 * It drains and goes on announcing itself until it deregisters.
		 */
		DRAINING,

		/**
		 * It has deregistered.
		 */
		DEREGISTERED,

		/**
		 * It has deregistered without stating its start: every start of its id up to the
		 * time of the departure has ended.
		 */
		DEREGISTERED_WITHOUT_START

	}

}
