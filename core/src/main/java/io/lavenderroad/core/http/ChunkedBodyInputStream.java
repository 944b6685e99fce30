package io.lavenderroad.core.http;

import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Decodes a body in chunked transfer coding (RFC 9112, section 7.1). The stream ends only
 * after the whole trailer section; the trailer fields are checked and dropped. The
 * decoder of the library accepts signs and white space around a chunk size, trailer
 * fields with malformed names, and a body that ends before its trailer section does.
 */
final class ChunkedBodyInputStream extends InputStream {

	private static final int MAXIMUM_TRAILER_FIELDS = 100;

	/**
	 * Maximum length of a trailer field in bytes.
	 */
	private static final int MAXIMUM_TRAILER_FIELD_BYTES = 16 * 1024;

	private static final int HEXADECIMAL = 16;

	/**
	 * Largest chunk size that another hexadecimal digit does not overflow.
	 */
	private static final long MAXIMUM_SIZE_BEFORE_DIGIT = Long.MAX_VALUE / HEXADECIMAL;

	private final SessionInputBuffer buffer;

	private final InputStream stream;

	private final CharArrayBuffer line = new CharArrayBuffer(HEXADECIMAL);

	private boolean started;

	private boolean ended;

	private long remainingInChunk;

	/**
	 * Creates a stream at the beginning of the body.
	 * @param buffer buffer with the bytes already received
	 * @param stream input after the buffered bytes
	 */
	ChunkedBodyInputStream(SessionInputBuffer buffer, InputStream stream) {
		this.buffer = buffer;
		this.stream = stream;
	}

	@Override
	public int read() throws IOException {
		byte[] single = new byte[1];
		int count = read(single, 0, 1);
		return (count < 0) ? count : Byte.toUnsignedInt(single[0]);
	}

	/**
	 * Reads bytes of the body.
	 * @param target receives the bytes
	 * @param offset offset of the first byte in the target
	 * @param length maximum number of bytes
	 * @return the number of bytes, -1 after the whole message
	 * @throws MalformedChunkCodingException if the coding is malformed or ends too early
	 * @throws IOException if the connection fails
	 */
	@Override
	public int read(byte[] target, int offset, int length) throws IOException {
		if (length == 0) {
			return 0;
		}
		if (this.remainingInChunk == 0 && !beginChunk()) {
			return -1;
		}
		int count = this.buffer.read(target, offset, (int) Math.min(length, this.remainingInChunk), this.stream);
		if (count < 0) {
			throw new MalformedChunkCodingException("the connection ended within a chunk");
		}
		this.remainingInChunk -= count;
		return count;
	}

	private boolean beginChunk() throws IOException {
		if (this.ended) {
			return false;
		}
		if (this.started && !readLine().isEmpty()) {
			throw new MalformedChunkCodingException("a chunk is longer than its size");
		}
		this.started = true;
		this.remainingInChunk = parseSize(readLine());
		if (this.remainingInChunk > 0) {
			return true;
		}
		readTrailerSection();
		this.ended = true;
		return false;
	}

	private CharArrayBuffer readLine() throws IOException {
		this.line.clear();
		if (this.buffer.readLine(this.line, this.stream) < 0) {
			throw new MalformedChunkCodingException("the connection ended between chunks");
		}
		return this.line;
	}

	/**
	 * Parses a chunk size; chunk extensions after it are ignored.
	 * @param line the line with the size
	 * @return the size in bytes
	 * @throws MalformedChunkCodingException if it is not a hexadecimal number
	 */
	private static long parseSize(CharArrayBuffer line) throws MalformedChunkCodingException {
		int end = endOfSize(line);
		if (end == 0) {
			throw new MalformedChunkCodingException("a chunk has no size");
		}
		long size = 0;
		for (int index = 0; index < end; index++) {
			int digit = Character.digit(line.charAt(index), HEXADECIMAL);
			if (digit < 0 || size > MAXIMUM_SIZE_BEFORE_DIGIT) {
				throw new MalformedChunkCodingException("a chunk size is not a number");
			}
			size = size * HEXADECIMAL + digit;
		}
		return size;
	}

	private static int endOfSize(CharArrayBuffer line) {
		int end = line.indexOf(';');
		if (end < 0) {
			return line.length();
		}
		while (end > 0 && HttpGrammar.isWhitespace(line.charAt(end - 1))) {
			end--;
		}
		return end;
	}

	private void readTrailerSection() throws IOException {
		MessageHeadInputStream section = new MessageHeadInputStream(this.stream,
				(long) MAXIMUM_TRAILER_FIELDS * MAXIMUM_TRAILER_FIELD_BYTES);
		int fields = 0;
		try {
			while (!readTrailerLine(section).isEmpty()) {
				fields++;
				if (fields > MAXIMUM_TRAILER_FIELDS) {
					throw new MessageConstraintException("there are too many trailer fields");
				}
				StrictLineParser.INSTANCE.parseHeader(this.line);
			}
		}
		catch (ParseException ex) {
			throw new MalformedChunkCodingException("a trailer field is malformed: " + ex.getMessage());
		}
	}

	private CharArrayBuffer readTrailerLine(MessageHeadInputStream section) throws IOException {
		this.line.clear();
		if (this.buffer.readLine(this.line, section) < 0) {
			throw new MalformedChunkCodingException("the connection ended between chunks");
		}
		if (this.line.length() > MAXIMUM_TRAILER_FIELD_BYTES) {
			throw new MessageConstraintException("a trailer field is too large");
		}
		return this.line;
	}

}
