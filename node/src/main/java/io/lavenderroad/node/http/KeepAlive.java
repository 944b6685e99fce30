package io.lavenderroad.node.http;

import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses the field {@code Keep-Alive} of a response.
 */
public final class KeepAlive {

	private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*([0-9]{1,6})");

	private KeepAlive() {
	}

	/**
	 * Returns how long the sender keeps an idle connection open.
	 * @param headers fields of the response
	 * @return the time in milliseconds, 0 if none is stated
	 */
	public static long millis(HeaderFields headers) {
		Matcher matcher = TIMEOUT.matcher(headers.text("Keep-Alive"));
		return matcher.find() ? TimeUnit.SECONDS.toMillis(Long.parseLong(matcher.group(1))) : 0;
	}

}
