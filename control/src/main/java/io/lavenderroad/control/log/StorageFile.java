package io.lavenderroad.control.log;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * File opened for appending.
 */
public interface StorageFile extends AutoCloseable {

	/**
	 * Appends all bytes to the file. After a failure a part of them may have been
	 * written.
	 * @param bytes the bytes
	 * @throws IOException if not all bytes were written
	 */
	void append(ByteBuffer bytes) throws IOException;

	/**
	 * Truncates the file.
	 * @param size new size in bytes
	 * @throws IOException if it fails
	 */
	void truncate(long size) throws IOException;

	/**
	 * Syncs the content and the size of the file to the disk.
	 * @throws IOException if they may not be durable
	 */
	void sync() throws IOException;

	@Override
	void close() throws IOException;

}
