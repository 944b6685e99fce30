package io.lavenderroad.core.http;

import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.ProtocolVersion;

/**
 * Determines the length of a body from the head of its message (RFC 9112, section 6). The
 * strategy of the library accepts a sign before the digits, and a length beside a
 * transfer coding; two recipients may then disagree on where the message ends.
 */
public final class MessageLength {

	private static final String CHUNKED = "chunked";

	private MessageLength() {
	}

	/**
	 * Determines the length.
	 * @param head head of the message
	 * @return the length in bytes, {@link ContentLengthStrategy#CHUNKED}, or
	 * {@link ContentLengthStrategy#UNDEFINED} if the head states none
	 * @throws ProtocolException if the head states a length that is malformed or
	 * ambiguous, or another transfer coding than {@code chunked}
	 */
	public static long of(HttpMessage head) throws ProtocolException {
		return of(head.getHeaders(HttpHeaders.TRANSFER_ENCODING), head.getHeaders(HttpHeaders.CONTENT_LENGTH),
				head.getVersion());
	}

	static long of(Header[] codings, Header[] lengths, ProtocolVersion version) throws ProtocolException {
		if (codings.length + lengths.length > 1) {
			throw new ProtocolException("the length of the body is stated more than once");
		}
		if (codings.length > 0) {
			requireChunked(codings[0].getValue(), version);
			return ContentLengthStrategy.CHUNKED;
		}
		return (lengths.length > 0) ? parse(lengths[0].getValue()) : ContentLengthStrategy.UNDEFINED;
	}

	private static void requireChunked(String coding, ProtocolVersion version) throws ProtocolException {
		if (!coding.equalsIgnoreCase(CHUNKED)) {
			throw new ProtocolException("the transfer coding is not chunked");
		}
		if (version != null && version.lessEquals(HttpVersion.HTTP_1_0)) {
			throw new ProtocolException("HTTP/1.0 has no transfer coding");
		}
	}

	private static long parse(String length) throws ProtocolException {
		try {
			if (HttpGrammar.isDigits(length)) {
				return Long.parseLong(length);
			}
		}
		catch (NumberFormatException ex) {
			// The number is larger than any body.
		}
		throw new ProtocolException("the length of the body is not a number");
	}

}
