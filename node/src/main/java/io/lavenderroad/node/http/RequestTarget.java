package io.lavenderroad.node.http;

import java.util.Locale;
import java.util.Optional;

import io.vavr.control.Either;

/**
 * Target of a request (RFC 9112, section 3.2). The same bytes choose the route and go on
 * to the backend server: nothing is decoded or normalized, so {@code //}, {@code %2F} and
 * dot segments stay as they are.
 *
 * @param path path with query, begins with a slash
 * @param authority host and port of a target in absolute form
 */
record RequestTarget(String path, Optional<String> authority) {

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
			return Either.right(new RequestTarget(target, Optional.empty()));
		}
		String scheme = target.toLowerCase(Locale.ROOT);
		if (scheme.startsWith("http" + SCHEME_SEPARATOR) || scheme.startsWith("https" + SCHEME_SEPARATOR)) {
			return parseAbsolute(target.substring(target.indexOf(SCHEME_SEPARATOR) + SCHEME_SEPARATOR.length()));
		}
		return Either.left("the request target is neither a path nor an absolute URI");
	}

	private static Either<String, RequestTarget> parseAbsolute(String rest) {
		int end = 0;
		while (end < rest.length() && rest.charAt(end) != '/' && rest.charAt(end) != '?') {
			end++;
		}
		String authority = rest.substring(0, end);
		if (authority.isEmpty() || authority.indexOf('@') >= 0) {
			return Either.left("the request target names no host, or a user");
		}
		String path = rest.substring(end);
		return Either.right(new RequestTarget(path.startsWith("/") ? path : "/" + path, Optional.of(authority)));
	}

	private static boolean isForbidden(char character) {
		return character <= ' ' || character == '\u007f' || character == '\\' || character == '#';
	}

}
