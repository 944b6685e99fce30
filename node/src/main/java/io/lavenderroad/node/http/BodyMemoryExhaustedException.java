package io.lavenderroad.node.http;

import java.io.IOException;

/**
 * The bodies that are being read exceed their common {@link BodyMemoryBudget}.
 */
final class BodyMemoryExhaustedException extends IOException {

	private static final long serialVersionUID = 1L;

	BodyMemoryExhaustedException(long maximumBytes) {
		super("the bodies that are being read are over " + maximumBytes + " bytes together");
	}

}
