package io.lavenderroad.core;

import java.util.Optional;

/**
 * Base class of the unchecked exceptions of this product. Expected failures are returned
 * as values instead.
 */
public class LavenderroadException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Location location;

	public LavenderroadException(String message) {
		this(message, null, null);
	}

	public LavenderroadException(String message, Throwable cause) {
		this(message, cause, null);
	}

	public LavenderroadException(String message, Throwable cause, Location location) {
		super((location != null) ? location + ": " + message : message, cause);
		this.location = location;
	}

	/**
	 * Returns where the failure was found.
	 * @return the location, or empty if the failure has none
	 */
	public Optional<Location> location() {
		return Optional.ofNullable(this.location);
	}

}
