package io.lavenderroad.core.http;

import java.io.IOException;

/**
 * Thrown when a line of a message has a form that HTTP/1.1 does not allow.
 */
public final class MalformedLineException extends IOException {

	private static final long serialVersionUID = 1;

	MalformedLineException(String message) {
		super(message);
	}

}
