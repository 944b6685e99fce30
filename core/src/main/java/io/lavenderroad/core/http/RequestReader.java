package io.lavenderroad.core.http;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.message.RequestLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Reads the requests that arrive on one connection, by the same rules as
 * {@link ResponseReader}. A head is kept as text until it is complete: fields of a few
 * bytes take many times their size once they are parsed. After an exception the
 * connection cannot be used any more.
 */
public final class RequestReader {

	private static final int BUFFER_BYTES = 4 * 1024;

	/**
	 * Memory of one parsed field besides its characters: two strings with their arrays
	 * and references in the lists and messages that pass the field on.
	 */
	private static final long FIELD_BYTES = 256;

	private static final int LINE_END_BYTES = 2;

	/**
	 * Maximum length of a chunk size with its extensions and of a trailer field. No
	 * memory is reserved for these lines, which are not kept.
	 */
	private static final int MAXIMUM_FRAMING_LINE_BYTES = 4 * 1024;

	/**
	 * First capacity of the text of a head, in characters.
	 */
	private static final int HEAD_CAPACITY = 512;

	/**
	 * A recipient ignores an empty line before a request (RFC 9112, section 2.2).
	 */
	private static final int MAXIMUM_EMPTY_LINES = 1;

	private final StrictLineBuffer buffer = new StrictLineBuffer(BUFFER_BYTES, MAXIMUM_FRAMING_LINE_BYTES);

	private final InputStream stream;

	/**
	 * Creates a reader.
	 * @param stream input of the connection, used by this reader only
	 */
	public RequestReader(InputStream stream) {
		this.stream = stream;
	}

	/**
	 * Returns whether bytes were received that no request has used yet.
	 * @return true if the buffer is not empty
	 */
	public boolean hasBufferedData() {
		return this.buffer.hasBufferedData();
	}

	/**
	 * Waits for bytes.
	 * @return false if the connection has ended
	 * @throws IOException if the connection fails or its timeout expires
	 */
	public boolean fill() throws IOException {
		return this.buffer.fillBuffer(this.stream) >= 0;
	}

	/**
	 * Drops the buffered bytes.
	 */
	public void clear() {
		this.buffer.clear();
	}

	/**
	 * Reads the head of the next request.
	 * @param maximumBytes maximum size of the head without the empty line at its end
	 * @param memory memory of the head; what was reserved stays reserved
	 * @return the head
	 * @throws IOException if the connection fails or ends, or a line is malformed
	 * @throws HttpException if the head is malformed or too large
	 */
	public RequestHead readHead(int maximumBytes, HeadMemory memory) throws IOException, HttpException {
		List<Integer> ends = new ArrayList<>();
		this.buffer.maximumLineBytes(maximumBytes);
		CharArrayBuffer text = readText(maximumBytes, memory, ends);
		this.buffer.maximumLineBytes(MAXIMUM_FRAMING_LINE_BYTES);
		memory.reserve(ends.size() * FIELD_BYTES);
		RequestLine requestLine = StrictLineParser.INSTANCE.parseRequestLine(line(text, 0, ends.getFirst()));
		boolean persistent = requestLine.getProtocolVersion().greaterEquals(HttpVersion.HTTP_1_1);
		Fields fields = new Fields(2 * ends.size());
		for (int index = 1; index < ends.size(); index++) {
			fields.add(StrictLineParser.INSTANCE.parseHeader(line(text, ends.get(index - 1), ends.get(index))));
		}
		return new RequestHead(requestLine.getMethod(), requestLine.getUri(), persistent, fields.pairs,
				fields.bodyLength(requestLine));
	}

	/**
	 * Returns the body of the request.
	 * @param head the head that was read last
	 * @return the decoded body; the next head may be read after its end
	 */
	public InputStream body(RequestHead head) {
		return (head.bodyLength() == ContentLengthStrategy.UNDEFINED) ? InputStream.nullInputStream()
				: MessageBodyStreams.decode(head.bodyLength(), this.buffer, this.stream);
	}

	private CharArrayBuffer readText(int maximumBytes, HeadMemory memory, List<Integer> ends)
			throws IOException, HttpException {
		ReservingInputStream reserving = new ReservingInputStream(this.stream, memory);
		reserving.reserve(this.buffer.length());
		CharArrayBuffer text = new CharArrayBuffer(HEAD_CAPACITY);
		int emptyLines = 0;
		while (true) {
			int length = this.buffer.readLine(text, reserving);
			if (length < 0) {
				throw new EOFException("the connection ended before the end of the fields");
			}
			if (text.length() + (ends.size() + 1) * LINE_END_BYTES > maximumBytes) {
				throw new MessageConstraintException("the fields are too large");
			}
			if (length > 0) {
				ends.add(text.length());
			}
			else if (!ends.isEmpty()) {
				return text;
			}
			else if (++emptyLines > MAXIMUM_EMPTY_LINES) {
				throw new ProtocolException("empty lines stand before the request");
			}
		}
	}

	private static CharArrayBuffer line(CharArrayBuffer text, int start, int end) {
		CharArrayBuffer line = new CharArrayBuffer(end - start);
		line.append(text, start, end - start);
		return line;
	}

	/**
	 * Fields of one head.
	 */
	private static final class Fields {

		private final List<String> pairs;

		private final List<Header> codings = new ArrayList<>(1);

		private final List<Header> lengths = new ArrayList<>(1);

		private boolean hasHost;

		Fields(int capacity) {
			this.pairs = new ArrayList<>(capacity);
		}

		void add(Header field) throws ProtocolException {
			String name = field.getName();
			this.pairs.add(name);
			this.pairs.add(field.getValue());
			if (name.equalsIgnoreCase(HttpHeaders.TRANSFER_ENCODING)) {
				this.codings.add(field);
			}
			else if (name.equalsIgnoreCase(HttpHeaders.CONTENT_LENGTH)) {
				this.lengths.add(field);
			}
			else if (name.equalsIgnoreCase(HttpHeaders.HOST)) {
				if (this.hasHost) {
					throw new ProtocolException("the host is stated more than once");
				}
				this.hasHost = true;
			}
		}

		long bodyLength(RequestLine requestLine) throws ProtocolException {
			return MessageLength.of(this.codings.toArray(Header[]::new), this.lengths.toArray(Header[]::new),
					requestLine.getProtocolVersion());
		}

	}

}
