package io.lavenderroad.node.http;

import java.io.IOException;

/**
 * The memory of {@link CallerMemory} is not available.
 */
final class CallerMemoryExhaustedException extends IOException {

	private static final long serialVersionUID = 1L;

	CallerMemoryExhaustedException(long maximumBytes) {
		super("what callers make this process hold is over " + maximumBytes + " bytes");
	}

}
