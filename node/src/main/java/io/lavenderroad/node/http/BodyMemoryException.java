package io.lavenderroad.node.http;

import java.io.IOException;

/**
 * The bodies that are being read fill the memory set aside for them.
 */
final class BodyMemoryException extends IOException {

	private static final long serialVersionUID = 1L;

	BodyMemoryException(long mostBytes) {
		super("the bodies that are being read are over " + mostBytes + " bytes together");
	}

}
