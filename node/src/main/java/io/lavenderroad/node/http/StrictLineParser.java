package io.lavenderroad.node.http;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http.message.BasicLineParser;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses the lines of a message head as RFC 9112 defines them. The parser of the library
 * also accepts field names that are no tokens.
 */
final class StrictLineParser extends BasicLineParser {

	static final StrictLineParser INSTANCE = new StrictLineParser();

	private StrictLineParser() {
	}

	/**
	 * Parses a header or trailer field (RFC 9112, section 5).
	 * @param line the line
	 * @return the field, its value without surrounding white space
	 * @throws ParseException if the line has no colon or its name is not a token
	 */
	@Override
	public Header parseHeader(CharArrayBuffer line) throws ParseException {
		int colon = line.indexOf(':');
		if (colon < 0) {
			throw new ParseException("a line is not a header field");
		}
		String name = line.substring(0, colon);
		if (!HttpGrammar.isToken(name)) {
			throw new ParseException("a header field has a malformed name");
		}
		return new BasicHeader(name, HttpGrammar.trim(line.substring(colon + 1, line.length())));
	}

}
