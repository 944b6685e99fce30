package io.lavenderroad.node.http;

import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the field {@code Keep-Alive} of an answer.
 */
public final class KeepAlive {

	private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*([0-9]{1,6})");

	private KeepAlive() {
	}

	/**
	 * Returns how long the sender keeps an idle connection.
	 * @param headers fields of the answer
	 * @return milliseconds, 0 if it does not say
	 */
	public static long millis(HeaderFields headers) {
		Matcher matcher = TIMEOUT.matcher(headers.text("Keep-Alive"));
		return matcher.find() ? TimeUnit.SECONDS.toMillis(Long.parseLong(matcher.group(1))) : 0;
	}

}
