package io.lavenderroad.core.http;

import java.util.Optional;

/**
 * Host and port of a request, of a route, or of a target in absolute form (RFC 9110,
 * sections 4.2.3 and 7.2). Two authorities name the same host if their hosts and ports
 * are equal here, however they were written. A name with a dot at its end is another name
 * than the one without it.
 *
 * @param host normalized name, IPv4 address, or IPv6 address in brackets
 * @param port the stated port, or the default port
 * @param statesPort whether a port was stated; an empty one was not
 */
public record HttpAuthority(String host, int port, boolean statesPort) {

	/**
	 * Default port of the scheme {@code http}.
	 */
	public static final int HTTP_PORT = 80;

	/**
	 * Default port of the scheme {@code https}.
	 */
	public static final int HTTPS_PORT = 443;

	private static final int MAXIMUM_PORT = 65_535;

	private static final String NO_PORT = "";

	/**
	 * Parses the host and the optional port of an {@code http} URI.
	 * @param text value of a {@code Host} field, or host of a route
	 * @return the authority, or empty if the text is none or its host is empty
	 */
	public static Optional<HttpAuthority> parse(String text) {
		return parse(text, HTTP_PORT);
	}

	/**
	 * Parses a host and an optional port.
	 * @param text text without user information
	 * @param defaultPort port of an authority that states none
	 * @return the authority, or empty if the text is none or its host is empty
	 */
	public static Optional<HttpAuthority> parse(String text, int defaultPort) {
		int hostEnd = hostEnd(text);
		String portText = (hostEnd == text.length()) ? NO_PORT : text.substring(hostEnd + 1);
		Optional<String> host = normalizedHost(text.substring(0, hostEnd));
		if (host.isEmpty() || !isPort(portText)) {
			return Optional.empty();
		}
		boolean statesPort = !portText.equals(NO_PORT);
		int port = statesPort ? Integer.parseInt(portText) : defaultPort;
		return Optional.of(new HttpAuthority(host.get(), port, statesPort));
	}

	/**
	 * Returns whether two authorities name the same host and port.
	 * @param other the other authority
	 * @return true if they do, whether or not they state the port
	 */
	public boolean isEquivalentTo(HttpAuthority other) {
		return this.host.equals(other.host) && this.port == other.port;
	}

	@Override
	public String toString() {
		return this.statesPort ? this.host + ":" + this.port : this.host;
	}

	// The colons of an address in brackets do not begin a port.
	private static int hostEnd(String text) {
		int colon = text.indexOf(':', text.startsWith("[") ? Math.max(0, text.indexOf(']')) : 0);
		return (colon < 0) ? text.length() : colon;
	}

	private static Optional<String> normalizedHost(String host) {
		return host.startsWith("[") ? HostNames.normalizedLiteral(host) : HostNames.normalizedName(host);
	}

	private static boolean isPort(String text) {
		int value = 0;
		for (int index = 0; index < text.length(); index++) {
			char digit = text.charAt(index);
			if (digit < '0' || digit > '9') {
				return false;
			}
			value = value * 10 + digit - '0';
			if (value > MAXIMUM_PORT) {
				return false;
			}
		}
		return true;
	}

}
