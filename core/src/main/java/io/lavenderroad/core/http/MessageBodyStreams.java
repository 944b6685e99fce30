package io.lavenderroad.core.http;

import java.io.InputStream;

import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.impl.io.ContentLengthInputStream;
import org.apache.hc.core5.http.impl.io.IdentityInputStream;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Creates the streams that decode message bodies.
 */
public final class MessageBodyStreams {

	private MessageBodyStreams() {
	}

	/**
	 * Creates the stream of a body. A body that ends too early is an error of the stream,
	 * unless only the end of the connection delimits it.
	 * @param length length as {@link MessageLength} determines it
	 * @param buffer buffer with the bytes already received
	 * @param stream input after the buffered bytes
	 * @return the decoded body
	 */
	public static InputStream decode(long length, SessionInputBuffer buffer, InputStream stream) {
		if (length == ContentLengthStrategy.CHUNKED) {
			return new ChunkedBodyInputStream(buffer, stream);
		}
		return (length >= 0) ? new ContentLengthInputStream(buffer, stream, length)
				: new IdentityInputStream(buffer, stream);
	}

}
