package io.lavenderroad.node.http;

import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.io.ChunkedInputStream;
import org.apache.hc.core5.http.impl.io.ContentLengthInputStream;
import org.apache.hc.core5.http.impl.io.IdentityInputStream;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Reads whole bodies. A body that breaks off is an error and never looks whole.
 */
final class MessageBody {

	private static final byte[] NONE = new byte[0];

	private static final Http1Config TRAILER_LIMITS = Http1Config.custom().setMaxHeaderCount(100).build();

	private MessageBody() {
	}

	/**
	 * Reads the body of a request.
	 * @param head the request
	 * @param buffer bytes already received
	 * @param stream further bytes
	 * @param mostBytes largest body
	 * @param memory bounds all bodies together
	 * @return the body, or null if it is larger
	 * @throws IOException if the body breaks off
	 * @throws HttpException if its length is malformed
	 */
	static byte[] read(HttpMessage head, SessionInputBuffer buffer, InputStream stream, int mostBytes,
			BodyMemory memory) throws IOException, HttpException {
		long length = DefaultContentLengthStrategy.INSTANCE.determineLength(head);
		if (length == ContentLengthStrategy.UNDEFINED) {
			return NONE;
		}
		return bounded(length, buffer, stream, mostBytes, memory);
	}

	/**
	 * Reads the body of an answer, which may end with its connection.
	 * @param head the answer
	 * @param buffer bytes already received
	 * @param stream further bytes
	 * @param mostBytes largest body
	 * @param memory bounds all bodies together
	 * @return the body, or null if it is larger
	 * @throws IOException if the body breaks off
	 * @throws HttpException if its length is malformed
	 */
	static byte[] readAnswer(HttpMessage head, SessionInputBuffer buffer, InputStream stream, int mostBytes,
			BodyMemory memory) throws IOException, HttpException {
		return bounded(DefaultContentLengthStrategy.INSTANCE.determineLength(head), buffer, stream, mostBytes, memory);
	}

	/**
	 * Tells whether the end of a body is marked.
	 * @param head the answer
	 * @return false if it ends with the connection
	 * @throws HttpException if its length is malformed
	 */
	static boolean isFramed(HttpMessage head) throws HttpException {
		return DefaultContentLengthStrategy.INSTANCE.determineLength(head) != ContentLengthStrategy.UNDEFINED;
	}

	/**
	 * Tells whether answers with a status have no body (RFC 9110, section 6.4.1).
	 * @param status the status
	 * @return true for interim answers, 204 and 304
	 */
	static boolean isForbidden(int status) {
		return status < HttpStatus.SC_SUCCESS || status == HttpStatus.SC_NO_CONTENT
				|| status == HttpStatus.SC_NOT_MODIFIED;
	}

	private static byte[] bounded(long length, SessionInputBuffer buffer, InputStream stream, int mostBytes,
			BodyMemory memory) throws IOException {
		if (length > mostBytes) {
			return null;
		}
		if (length == 0) {
			return NONE;
		}
		return memory.read(open(length, buffer, stream), mostBytes);
	}

	private static InputStream open(long length, SessionInputBuffer buffer, InputStream stream) {
		if (length == ContentLengthStrategy.CHUNKED) {
			return new ChunkedInputStream(buffer, stream, TRAILER_LIMITS);
		}
		return (length >= 0) ? new ContentLengthInputStream(buffer, stream, length)
				: new IdentityInputStream(buffer, stream);
	}

}
