package io.lavenderroad.control.log;

import io.lavenderroad.core.LavenderroadException;

/**
 * Thrown when an operation on the files of the data folder fails.
 */
public class StorageException extends LavenderroadException {

	private static final long serialVersionUID = 1L;

	private final boolean permanent;

	public StorageException(String message, Throwable cause, boolean permanent) {
		super(message, cause);
		this.permanent = permanent;
	}

	/**
	 * Returns whether the state on disk is uncertain. After a failed sync the kernel may
	 * have dropped the written pages, so a later successful sync proves nothing.
	 * @return true if nothing may be acknowledged until the member restarts; false if the
	 * write was undone completely, for example when the disk is full
	 */
	public boolean isPermanent() {
		return this.permanent;
	}

}
