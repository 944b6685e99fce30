package io.lavenderroad.core.http;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses the lines of the head of a response. A second status line inside the first line
 * or inside the value of a field shows that the head consists of two responses, of which
 * the first broke off: no part of it can be attributed to a request.
 */
final class ResponseLineParser extends StrictLineParser {

	static final ResponseLineParser INSTANCE = new ResponseLineParser();

	private static final String SECOND_STATUS_LINE = "another response begins inside the head";

	private ResponseLineParser() {
	}

	@Override
	public StatusLine parseStatusLine(CharArrayBuffer line) throws ParseException {
		StatusLine statusLine = super.parseStatusLine(line);
		if (HttpGrammar.containsStatusLine(statusLine.getReasonPhrase())) {
			throw new ParseException(SECOND_STATUS_LINE);
		}
		return statusLine;
	}

	@Override
	public Header parseHeader(CharArrayBuffer line) throws ParseException {
		// The value of the field has lost the space at the end of the line.
		if (HttpGrammar.containsStatusLine(line)) {
			throw new ParseException(SECOND_STATUS_LINE);
		}
		return super.parseHeader(line);
	}

}
