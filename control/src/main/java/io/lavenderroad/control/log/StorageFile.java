package io.lavenderroad.control.log;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * An open file that grows at its end.
 */
public interface StorageFile extends AutoCloseable {

	/**
	 * Writes all bytes at the end of the file. A failure may leave a part of them.
	 * @param bytes the bytes
	 * @throws IOException if not all were written
	 */
	void append(ByteBuffer bytes) throws IOException;

	/**
	 * Shortens the file.
	 * @param size new size in bytes
	 * @throws IOException if it fails
	 */
	void truncate(long size) throws IOException;

	/**
	 * Makes content and size durable.
	 * @throws IOException if they may be lost
	 */
	void sync() throws IOException;

	@Override
	void close() throws IOException;

}
