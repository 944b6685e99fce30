package io.lavenderroad.core.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.ProtocolVersion;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http.message.BasicLineParser;
import org.apache.hc.core5.http.message.RequestLine;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses the lines of a message head as RFC 9112 defines them. The parser of the library
 * also accepts field names that are no tokens, and first lines with other separators,
 * versions and numbers.
 */
class StrictLineParser extends BasicLineParser {

	static final StrictLineParser INSTANCE = new StrictLineParser();

	/**
	 * Version 1.0 to 1.9, a status of 100 to 599 and a reason phrase, which may be empty
	 * (RFC 9112, section 4).
	 */
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.([0-9]) ([1-5][0-9]{2}) (.*)", Pattern.DOTALL);

	/**
	 * Method, target without spaces, and version 1.0 to 1.9, separated by single spaces
	 * (RFC 9112, section 3).
	 */
	private static final Pattern REQUEST_LINE = Pattern.compile("([^ ]+) ([^ ]+) HTTP/1\\.([0-9])");

	StrictLineParser() {
	}

	/**
	 * Parses the request line.
	 * @param line the line
	 * @return the request line
	 * @throws ParseException if the line is malformed
	 */
	@Override
	public RequestLine parseRequestLine(CharArrayBuffer line) throws ParseException {
		Matcher matcher = REQUEST_LINE.matcher(line);
		if (!matcher.matches() || !HttpGrammar.isToken(matcher.group(1))) {
			throw new ParseException("the request line is malformed");
		}
		ProtocolVersion version = HttpVersion.get(1, Integer.parseInt(matcher.group(3)));
		return new RequestLine(matcher.group(1), matcher.group(2), version);
	}

	/**
	 * Parses the status line of a response.
	 * @param line the line
	 * @return the status line
	 * @throws ParseException if the line is malformed or its status is unknown to HTTP
	 */
	@Override
	public StatusLine parseStatusLine(CharArrayBuffer line) throws ParseException {
		Matcher matcher = STATUS_LINE.matcher(line);
		if (!matcher.matches()) {
			throw new ParseException("the status line is malformed");
		}
		ProtocolVersion version = HttpVersion.get(1, Integer.parseInt(matcher.group(1)));
		return new StatusLine(version, Integer.parseInt(matcher.group(2)), matcher.group(3));
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
