package io.lavenderroad.control.log;

import java.nio.file.Path;

import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.Location;

/**
 * Thrown when the content of a file in the data folder differs from what was synced. The
 * member must not start with such a file.
 */
public class LogCorruptionException extends LavenderroadException {

	private static final long serialVersionUID = 1L;

	private final transient Path file;

	private final long offset;

	public LogCorruptionException(Path file, long offset, String message) {
		super(message, null, new Location(file.toString(), 0, 0, "offset " + offset));
		this.file = file;
		this.offset = offset;
	}

	/**
	 * Returns the damaged file.
	 * @return the file
	 */
	public Path file() {
		return this.file;
	}

	/**
	 * Returns the offset of the damaged record.
	 * @return offset from the start of the file in bytes
	 */
	public long offset() {
		return this.offset;
	}

}
