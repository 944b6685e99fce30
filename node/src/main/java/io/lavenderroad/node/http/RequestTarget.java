package io.lavenderroad.node.http;

import java.util.Locale;
import java.util.Optional;

import io.lavenderroad.core.http.HttpAuthority;
import io.vavr.control.Either;

/**
 * Target of a request (RFC 9112, section 3.2). The same bytes choose the route and go on
 * to the backend server: nothing is decoded or normalized, so {@code //}, {@code %2F} and
 * dot segments stay as they are.
 *
 * @param path path with query, begins with a slash
 * @param authority host and port of a target in absolute form
 * @param defaultPort port of an authority that states none
 */
record RequestTarget(String path, Optional<String> authority, int defaultPort) {

	private static final String SCHEME_SEPARATOR = "://";

	/**
	 * Parses a target.
	 * @param target target as received
	 * @return the target, or why it is refused
	 */
	static Either<String, RequestTarget> parse(String target) {
		for (int index = 0; index < target.length(); index++) {
			if (isForbidden(target.charAt(index))) {
				return Either.left("the request target has a control character, a space, a backslash or a fragment");
			}
		}
		if (target.startsWith("/")) {
			return Either.right(new RequestTarget(target, Optional.empty(), HttpAuthority.HTTP_PORT));
		}
		int schemeEnd = Math.max(0, target.indexOf(SCHEME_SEPARATOR));
		String scheme = target.substring(0, schemeEnd).toLowerCase(Locale.ROOT);
		if (scheme.equals("http") || scheme.equals("https")) {
			int defaultPort = scheme.equals("http") ? HttpAuthority.HTTP_PORT : HttpAuthority.HTTPS_PORT;
			return parseAbsolute(target.substring(schemeEnd + SCHEME_SEPARATOR.length()), defaultPort);
		}
		return Either.left("the request target is neither a path nor an absolute URI");
	}

	private static Either<String, RequestTarget> parseAbsolute(String rest, int defaultPort) {
		int end = 0;
		while (end < rest.length() && rest.charAt(end) != '/' && rest.charAt(end) != '?') {
			end++;
		}
		String authority = rest.substring(0, end);
		if (HttpAuthority.parse(authority, defaultPort).isEmpty()) {
			return Either.left("the request target names no host, or a user");
		}
		String path = rest.substring(end);
		return Either
			.right(new RequestTarget(path.startsWith("/") ? path : "/" + path, Optional.of(authority), defaultPort));
	}

	private static boolean isForbidden(char character) {
		return character <= ' ' || character == '\u007f' || character == '\\' || character == '#';
	}

}
