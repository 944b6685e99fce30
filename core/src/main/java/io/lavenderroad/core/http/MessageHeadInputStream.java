package io.lavenderroad.core.http;

import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.MessageConstraintException;

/**
 * Input stream of a message head (start line and header fields) or of a trailer section.
 * The parser treats the end of the stream as the end of the fields, so a truncated head
 * would look complete, and it does not limit the size of a head. This stream turns both
 * into errors.
 */
public final class MessageHeadInputStream extends FilterInputStream {

	private long remainingBytes;

	/**
	 * Creates a stream.
	 * @param stream the underlying stream
	 * @param maximumBytes maximum number of bytes to read, including bytes beyond the
	 * head that are buffered
	 */
	public MessageHeadInputStream(InputStream stream, long maximumBytes) {
		super(stream);
		this.remainingBytes = maximumBytes;
	}

	@Override
	public int read() throws IOException {
		return check(super.read(), 1);
	}

	@Override
	public int read(byte[] target, int offset, int length) throws IOException {
		int count = super.read(target, offset, length);
		return check(count, count);
	}

	private int check(int result, int count) throws IOException {
		if (result < 0) {
			throw new EOFException("the connection ended before the end of the fields");
		}
		this.remainingBytes -= count;
		if (this.remainingBytes < 0) {
			throw new MessageConstraintException("the fields are too large");
		}
		return result;
	}

}
