package io.lavenderroad.node.http;

import java.io.IOException;

import io.lavenderroad.core.http.MessageLength;
import io.lavenderroad.core.http.RequestHead;
import io.lavenderroad.core.http.RequestReader;
import io.lavenderroad.core.http.ResponseReader;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;

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
	 * @param reader reader of the connection
	 * @param maximumBytes maximum size of this body
	 * @param account account that the memory is reserved from
	 * @return the body, or null if it is larger
	 * @throws IOException if the body is truncated, malformed or cannot be read
	 */
	static byte[] readRequest(RequestHead head, RequestReader reader, int maximumBytes, CallerMemory.Account account)
			throws IOException {
		if (head.bodyLength() > maximumBytes) {
			return null;
		}
		boolean empty = head.bodyLength() == 0 || head.bodyLength() == ContentLengthStrategy.UNDEFINED;
		return empty ? EMPTY : BoundedBody.read(reader.body(head), maximumBytes, account);
	}

	/**
	 * Reads the body of a response, which may end when the connection is closed.
	 * @param head the response
	 * @param reader reader of the connection
	 * @param maximumBytes maximum size of this body
	 * @param account account that the memory is reserved from
	 * @return the body, or null if it is larger
	 * @throws IOException if the body is truncated or cannot be read
	 * @throws HttpException if the message framing is malformed
	 */
	static byte[] readResponse(ClassicHttpResponse head, ResponseReader reader, int maximumBytes,
			CallerMemory.Account account) throws IOException, HttpException {
		long length = MessageLength.of(head);
		if (length > maximumBytes) {
			return null;
		}
		if (length >= 0) {
			return (length == 0) ? EMPTY : BoundedBody.readExactly(reader.body(head), (int) length, account);
		}
		return BoundedBody.read(reader.body(head), maximumBytes, account);
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

}
