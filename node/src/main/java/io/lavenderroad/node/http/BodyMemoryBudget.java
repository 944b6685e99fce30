package io.lavenderroad.node.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory of all bodies that are being read at the same time. The limit of a
 * single body is not enough: a faulty backend server may send an endless body on each of
 * its connections.
 */
final class BodyMemoryBudget {

	private static final int READ_BYTES = 16 * 1024;

	private final long maximumBytes;

	private final AtomicLong reservedBytes = new AtomicLong();

	/**
	 * Creates a budget.
	 * @param maximumBytes maximum size of all bodies together
	 */
	BodyMemoryBudget(long maximumBytes) {
		this.maximumBytes = maximumBytes;
	}

	/**
	 * Reads a body.
	 * @param stream stream of the body
	 * @param maximumBodyBytes maximum size of this body
	 * @return the body, or null if it is larger
	 * @throws BodyMemoryExhaustedException if all bodies together exceed the budget
	 * @throws IOException if the body is truncated or cannot be read
	 */
	byte[] read(InputStream stream, int maximumBodyBytes) throws IOException {
		long reserved = 0;
		try {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			byte[] block = stream.readNBytes(Math.min(READ_BYTES, maximumBodyBytes + 1));
			while (block.length > 0 && body.size() + block.length <= maximumBodyBytes) {
				reserved += block.length;
				reserve(block.length);
				body.write(block);
				block = stream.readNBytes(Math.min(READ_BYTES, maximumBodyBytes + 1 - body.size()));
			}
			return (block.length > 0) ? null : body.toByteArray();
		}
		finally {
			this.reservedBytes.addAndGet(-reserved);
		}
	}

	/**
	 * Returns the total size of the bodies that are being read.
	 * @return the number of bytes
	 */
	long reservedBytes() {
		return this.reservedBytes.get();
	}

	private void reserve(int bytes) throws BodyMemoryExhaustedException {
		if (this.reservedBytes.addAndGet(bytes) > this.maximumBytes) {
			throw new BodyMemoryExhaustedException(this.maximumBytes);
		}
	}

}
