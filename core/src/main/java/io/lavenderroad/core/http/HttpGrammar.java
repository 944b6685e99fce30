package io.lavenderroad.core.http;

import java.util.regex.Pattern;

/**
 * Character classes of HTTP messages (RFC 9110, section 5).
 */
final class HttpGrammar {

	private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

	private static final char DELETE = 0x7f;

	private static final char HIGHEST_CHARACTER = 0xff;

	private static final Pattern STATUS_LINE_BEGINNING = Pattern.compile("HTTP/1\\.[0-9] [1-5][0-9]{2} ");

	private HttpGrammar() {
	}

	/**
	 * Returns whether a text is a token, such as the name of a header field (RFC 9110,
	 * section 5.6.2).
	 * @param text the text
	 * @return true if it has at least one character and only token characters
	 */
	static boolean isToken(CharSequence text) {
		return !text.isEmpty() && text.chars().allMatch(HttpGrammar::isTokenCharacter);
	}

	/**
	 * Returns whether a text consists of decimal digits.
	 * @param text the text
	 * @return true if it has at least one character and only the digits 0 to 9
	 */
	static boolean isDigits(CharSequence text) {
		return !text.isEmpty() && text.chars().allMatch((character) -> character >= '0' && character <= '9');
	}

	/**
	 * Returns whether a status line begins anywhere in a text (RFC 9112, section 4).
	 * @param text the text
	 * @return true if it has a version, a status and the spaces behind them
	 */
	static boolean containsStatusLine(CharSequence text) {
		return STATUS_LINE_BEGINNING.matcher(text).find();
	}

	/**
	 * Returns whether a character may stand in a line: a visible one, one over 127, a
	 * space or a tab (RFC 9110, section 5.5).
	 * @param character the character, negative at the end of a stream
	 * @return false for control characters
	 */
	static boolean isLineCharacter(int character) {
		return character == '\t' || character >= ' ' && character <= HIGHEST_CHARACTER && character != DELETE;
	}

	/**
	 * Returns whether a character is optional white space (RFC 9110, section 5.6.3).
	 * @param character the character
	 * @return true for a space and a tab
	 */
	static boolean isWhitespace(int character) {
		return character == ' ' || character == '\t';
	}

	/**
	 * Removes optional white space at both ends.
	 * @param text the text
	 * @return the text without it
	 */
	static String trim(String text) {
		int start = 0;
		int end = text.length();
		while (start < end && isWhitespace(text.charAt(start))) {
			start++;
		}
		while (end > start && isWhitespace(text.charAt(end - 1))) {
			end--;
		}
		return text.substring(start, end);
	}

	private static boolean isTokenCharacter(int character) {
		return character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z'
				|| character >= '0' && character <= '9' || TOKEN_PUNCTUATION.indexOf(character) >= 0;
	}

}
