package io.lavenderroad.node.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory of all bodies that are being read. The limit of a single body does
 * not: a backend server in trouble may send one without end on each of its connections.
 */
final class BodyMemory {

	private static final int PART_BYTES = 16 * 1024;

	private final long mostBytes;

	private final AtomicLong takenBytes = new AtomicLong();

	/**
	 * Creates it.
	 * @param mostBytes most bytes of all bodies together
	 */
	BodyMemory(long mostBytes) {
		this.mostBytes = mostBytes;
	}

	/**
	 * Reads a body.
	 * @param stream its bytes
	 * @param mostBodyBytes largest body
	 * @return the body, or null if it is larger
	 * @throws BodyMemoryException if the bodies together are too large
	 * @throws IOException if the body breaks off
	 */
	byte[] read(InputStream stream, int mostBodyBytes) throws IOException {
		long taken = 0;
		try {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			byte[] part = stream.readNBytes(Math.min(PART_BYTES, mostBodyBytes + 1));
			while (part.length > 0 && body.size() + part.length <= mostBodyBytes) {
				taken += part.length;
				take(part.length);
				body.write(part);
				part = stream.readNBytes(Math.min(PART_BYTES, mostBodyBytes + 1 - body.size()));
			}
			return (part.length > 0) ? null : body.toByteArray();
		}
		finally {
			this.takenBytes.addAndGet(-taken);
		}
	}

	/**
	 * Returns the bytes of the bodies that are being read.
	 * @return the sum
	 */
	long takenBytes() {
		return this.takenBytes.get();
	}

	private void take(int bytes) throws BodyMemoryException {
		if (this.takenBytes.addAndGet(bytes) > this.mostBytes) {
			throw new BodyMemoryException(this.mostBytes);
		}
	}

}
