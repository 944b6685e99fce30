package io.lavenderroad.node.http;

import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * Bytes of the head of a message. The parser takes the end of the stream for the end of
 * the head, so a head that breaks off would look whole.
 */
final class HeadStream extends FilterInputStream {

	HeadStream(InputStream stream) {
		super(stream);
	}

	@Override
	public int read() throws IOException {
		return checked(super.read());
	}

	@Override
	public int read(byte[] target, int offset, int length) throws IOException {
		return checked(super.read(target, offset, length));
	}

	private static int checked(int result) throws EOFException {
		if (result < 0) {
			throw new EOFException("the connection ended before the end of the head");
		}
		return result;
	}

}
