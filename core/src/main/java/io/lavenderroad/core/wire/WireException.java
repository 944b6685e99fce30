package io.lavenderroad.core.wire;

import io.lavenderroad.core.LavenderroadException;

/**
 * A frame or message that violates the protocol, or a connection that failed.
 */
public class WireException extends LavenderroadException {

	private static final long serialVersionUID = 1L;

	public WireException(String message) {
		super(message);
	}

	public WireException(String message, Throwable cause) {
		super(message, cause);
	}

}
