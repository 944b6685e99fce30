package io.lavenderroad.node.http;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads bodies into memory that is reserved before. A caller may state any length and
 * send nothing, so its memory follows from what arrives, in blocks.
 */
final class BoundedBody {

	private static final int READ_BYTES = 16 * 1024;

	private BoundedBody() {
	}

	/**
	 * Reads a body. What was reserved stays reserved if it is returned.
	 * @param stream stream of the body
	 * @param maximumBodyBytes maximum size of this body
	 * @param account account that the memory is reserved from
	 * @return the body, or null if it is larger
	 * @throws CallerMemoryExhaustedException if the memory is not available
	 * @throws IOException if the body is truncated or cannot be read
	 */
	static byte[] read(InputStream stream, int maximumBodyBytes, CallerMemory.Account account) throws IOException {
		List<byte[]> blocks = new ArrayList<>();
		int length = 0;
		long reserved = 0;
		boolean complete = false;
		try {
			while (length <= maximumBodyBytes) {
				int wanted = (int) Math.min(READ_BYTES, maximumBodyBytes + 1L - length);
				account.reserve(wanted);
				reserved += wanted;
				byte[] block = stream.readNBytes(wanted);
				length += block.length;
				blocks.add(block);
				if (block.length < wanted) {
					complete = true;
					return join(blocks, length);
				}
			}
			return null;
		}
		finally {
			account.release(complete ? reserved - length : reserved);
		}
	}

	/**
	 * Reads a body of a known length into memory that is reserved before. For senders
	 * that are trusted to send what they state.
	 * @param stream stream of the body, which fails if it ends too early
	 * @param length length of the body
	 * @param account account that the memory is reserved from
	 * @return the body
	 * @throws CallerMemoryExhaustedException if the memory is not available
	 * @throws IOException if the body is truncated or cannot be read
	 */
	static byte[] readExactly(InputStream stream, int length, CallerMemory.Account account) throws IOException {
		account.reserve(length);
		byte[] body = new byte[length];
		if (stream.readNBytes(body, 0, length) < length) {
			throw new EOFException("the body is shorter than its length");
		}
		return body;
	}

	private static byte[] join(List<byte[]> blocks, int length) {
		byte[] body = new byte[length];
		int offset = 0;
		for (byte[] block : blocks) {
			System.arraycopy(block, 0, body, offset, block.length);
			offset += block.length;
		}
		return body;
	}

}
