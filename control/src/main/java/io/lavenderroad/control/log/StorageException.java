package io.lavenderroad.control.log;

import io.lavenderroad.core.LavenderroadException;

/**
 * A write to the data folder failed.
 */
public class StorageException extends LavenderroadException {

	private static final long serialVersionUID = 1L;

	private final boolean permanent;

	public StorageException(String message, Throwable cause, boolean permanent) {
		super(message, cause);
		this.permanent = permanent;
	}

	/**
	 * Tells whether the state on disk is in doubt. After a failed sync the kernel may
	 * have dropped the written pages, so that a later successful sync proves nothing.
	 * @return true if nothing may be acknowledged until the member restarts; false if the
	 * write was taken back completely, as after a full disk
	 */
	public boolean isPermanent() {
		return this.permanent;
	}

}
