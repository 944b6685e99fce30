package io.lavenderroad.core.http;

import java.io.IOException;

/**
 * Memory that a message head takes while it is received and after it is parsed.
 */
@FunctionalInterface
public interface HeadMemory {

	/**
	 * Takes more memory; may wait until it is available.
	 * @param bytes the number of bytes
	 * @throws IOException if the memory is not available
	 */
	void reserve(long bytes) throws IOException;

}
