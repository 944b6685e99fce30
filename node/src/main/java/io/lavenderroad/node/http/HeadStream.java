package io.lavenderroad.node.http;

import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.MessageConstraintException;

/**
 * Bytes of the head of a message. The parser takes the end of the stream for the end of
 * the head, so a head that breaks off would look whole; and it reads a head of any size.
 */
final class HeadStream extends FilterInputStream {

	private long leftBytes;

	/**
	 * Creates it.
	 * @param stream the bytes
	 * @param mostBytes most bytes to read, with what is buffered beyond the head
	 */
	HeadStream(InputStream stream, long mostBytes) {
		super(stream);
		this.leftBytes = mostBytes;
	}

	@Override
	public int read() throws IOException {
		return checked(super.read(), 1);
	}

	@Override
	public int read(byte[] target, int offset, int length) throws IOException {
		int count = super.read(target, offset, length);
		return checked(count, count);
	}

	private int checked(int result, int count) throws IOException {
		if (result < 0) {
			throw new EOFException("the connection ended before the end of the head");
		}
		this.leftBytes -= count;
		if (this.leftBytes < 0) {
			throw new MessageConstraintException("the head is too large");
		}
		return result;
	}

}
