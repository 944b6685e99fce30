package io.lavenderroad.core.http;

import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;

/**
 * Reads the responses that arrive on one connection. Every response of another process is
 * read with this class. After an exception the connection cannot be used any more.
 */
public final class ResponseReader {

	private static final int BUFFER_BYTES = 4 * 1024;

	/**
	 * Maximum size of a head, including the interim responses before it.
	 */
	private static final int MAXIMUM_HEAD_BYTES = 64 * 1024;

	/**
	 * Maximum length of a line of a head, of chunk framing or of trailers.
	 */
	private static final int MAXIMUM_LINE_BYTES = 16 * 1024;

	/**
	 * A response begins with its status line, without empty lines before it.
	 */
	private static final Http1Config HEAD_RULES = Http1Config.custom().setMaxEmptyLineCount(1).build();

	private final StrictLineBuffer buffer = new StrictLineBuffer(BUFFER_BYTES, MAXIMUM_LINE_BYTES);

	private final InputStream stream;

	/**
	 * Creates a reader.
	 * @param stream input of the connection, used by this reader only
	 */
	public ResponseReader(InputStream stream) {
		this.stream = stream;
	}

	/**
	 * Reads the head of the next final response; interim responses before it are dropped.
	 * @return the head, whose length is well-formed also where the response has no body
	 * @throws IOException if the connection fails or ends, or a line is malformed
	 * @throws HttpException if the head is malformed
	 */
	public ClassicHttpResponse readHead() throws IOException, HttpException {
		MessageHeadInputStream headStream = new MessageHeadInputStream(this.stream, MAXIMUM_HEAD_BYTES);
		ClassicHttpResponse head = parseHead(headStream);
		while (head.getCode() < HttpStatus.SC_SUCCESS) {
			head = parseHead(headStream);
		}
		return head;
	}

	/**
	 * Returns the body of the response to any request but HEAD.
	 * @param head the head that was read last
	 * @return the decoded body; the next head may be read after its end
	 * @throws ProtocolException if the length is malformed
	 */
	public InputStream body(ClassicHttpResponse head) throws ProtocolException {
		if (isBodyForbidden(head.getCode())) {
			return InputStream.nullInputStream();
		}
		return MessageBodyStreams.decode(MessageLength.of(head), this.buffer, this.stream);
	}

	/**
	 * Returns whether responses with a status never have a body (RFC 9110, section
	 * 6.4.1).
	 * @param status the status code
	 * @return true for interim responses, 204 and 304
	 */
	public static boolean isBodyForbidden(int status) {
		return status < HttpStatus.SC_SUCCESS || status == HttpStatus.SC_NO_CONTENT
				|| status == HttpStatus.SC_NOT_MODIFIED;
	}

	/**
	 * Returns whether bytes were received that no response has used yet.
	 * @return true if the buffer is not empty
	 */
	public boolean hasBufferedData() {
		return this.buffer.hasBufferedData();
	}

	private ClassicHttpResponse parseHead(MessageHeadInputStream headStream) throws IOException, HttpException {
		ClassicHttpResponse head = new DefaultHttpResponseParser(HEAD_RULES, ResponseLineParser.INSTANCE, null)
			.parse(this.buffer, headStream);
		MessageLength.of(head);
		return head;
	}

}
