package io.lavenderroad.node.http;

import java.io.IOException;
import java.io.InputStream;

import io.lavenderroad.core.http.MessageBodyStreams;
import io.lavenderroad.core.http.MessageLength;
import io.lavenderroad.core.http.ResponseReader;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Reads complete message bodies. A truncated body is an error and is never returned as
 * complete.
 */
final class MessageBody {

	private static final byte[] EMPTY = new byte[0];

	private MessageBody() {
	}

	/**
	 * Reads the body of a request.
	 * @param head the request
	 * @param buffer buffer with the bytes already received
	 * @param stream input after the buffered bytes
	 * @param maximumBytes maximum size of this body
	 * @param memory limit for all bodies together
	 * @return the body, or null if it is larger
	 * @throws IOException if the body is truncated or cannot be read
	 * @throws HttpException if the message framing is malformed
	 */
	static byte[] readRequest(HttpMessage head, SessionInputBuffer buffer, InputStream stream, int maximumBytes,
			BodyMemoryBudget memory) throws IOException, HttpException {
		long length = MessageLength.of(head);
		if (length == ContentLengthStrategy.UNDEFINED) {
			return EMPTY;
		}
		return readBounded(length, MessageBodyStreams.decode(length, buffer, stream), maximumBytes, memory);
	}

	/**
	 * Reads the body of a response, which may end when the connection is closed.
	 * @param head the response
	 * @param reader reader of the connection
	 * @param maximumBytes maximum size of this body
	 * @param memory limit for all bodies together
	 * @return the body, or null if it is larger
	 * @throws IOException if the body is truncated or cannot be read
	 * @throws HttpException if the message framing is malformed
	 */
	static byte[] readResponse(ClassicHttpResponse head, ResponseReader reader, int maximumBytes,
			BodyMemoryBudget memory) throws IOException, HttpException {
		return readBounded(MessageLength.of(head), reader.body(head), maximumBytes, memory);
	}

	/**
	 * Returns whether the message framing marks the end of the body.
	 * @param head the response
	 * @return false if the body ends when the connection is closed
	 * @throws HttpException if the message framing is malformed
	 */
	static boolean isFramed(HttpMessage head) throws HttpException {
		return MessageLength.of(head) != ContentLengthStrategy.UNDEFINED;
	}

	private static byte[] readBounded(long length, InputStream body, int maximumBytes, BodyMemoryBudget memory)
			throws IOException {
		if (length > maximumBytes) {
			return null;
		}
		return (length == 0) ? EMPTY : memory.read(body, maximumBytes);
	}

}
