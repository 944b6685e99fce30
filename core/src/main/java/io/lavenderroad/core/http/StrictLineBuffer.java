package io.lavenderroad.core.http;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.io.SessionInputBufferImpl;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Input buffer that reads only lines as RFC 9112, section 2.2, defines them: a line ends
 * with a carriage return and a line feed, has no other control characters than tabs, and
 * does not begin with white space. The buffer of the library also ends a line at a line
 * feed alone, keeps control characters, and lets the parser append a line that begins
 * with white space to the field before it (obsolete line folding, section 5.2).
 */
final class StrictLineBuffer extends SessionInputBufferImpl {

	private static final int END_OF_STREAM = -1;

	private int maximumLineBytes;

	/**
	 * Creates an empty buffer.
	 * @param bufferBytes size of the buffer
	 * @param maximumLineBytes maximum length of a line without its end
	 */
	StrictLineBuffer(int bufferBytes, int maximumLineBytes) {
		super(new BasicHttpTransportMetrics(), bufferBytes, bufferBytes, maximumLineBytes,
				StandardCharsets.ISO_8859_1.newDecoder());
		this.maximumLineBytes = maximumLineBytes;
	}

	/**
	 * Changes the limit for the following lines.
	 * @param bytes maximum length of a line without its end
	 */
	void maximumLineBytes(int bytes) {
		this.maximumLineBytes = bytes;
	}

	/**
	 * Reads one line.
	 * @param line receives the characters of the line without its end
	 * @param stream input after the buffered bytes
	 * @return the number of characters, -1 if the stream has ended before the line
	 * @throws MalformedLineException if the line has a form that is not allowed
	 * @throws IOException if the line is too long or the stream fails or ends in it
	 */
	@Override
	public int readLine(CharArrayBuffer line, InputStream stream) throws IOException {
		int next = read(stream);
		if (next == END_OF_STREAM) {
			return END_OF_STREAM;
		}
		if (HttpGrammar.isWhitespace(next)) {
			throw new MalformedLineException("a line begins with white space");
		}
		int length = 0;
		while (next != '\r') {
			requireLineCharacter(next);
			length++;
			if (length > this.maximumLineBytes) {
				throw new MessageConstraintException("a line is over " + this.maximumLineBytes + " bytes");
			}
			line.append((char) next);
			next = read(stream);
		}
		if (read(stream) != '\n') {
			throw new MalformedLineException("a carriage return has no line feed after it");
		}
		return length;
	}

	private static void requireLineCharacter(int character) throws IOException {
		if (character == END_OF_STREAM) {
			throw new EOFException("the connection ended within a line");
		}
		if (!HttpGrammar.isLineCharacter(character)) {
			throw new MalformedLineException(String.format("a line has the control character 0x%02x", character));
		}
	}

}
