package io.lavenderroad.node.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.lavenderroad.core.http.HttpAuthority;
import io.vavr.control.Either;

/**
 * Determines the host and port that a request names by its target and its {@code Host}
 * field (RFC 9112, sections 3.2 and 3.3).
 */
final class RequestAuthority {

	private static final String HOST = "Host";

	private RequestAuthority() {
	}

	/**
	 * Returns the host and port that a request names.
	 * @param target target of the request
	 * @param headers header fields of the request
	 * @return the authority, empty if the request names none, or why the request is
	 * refused
	 */
	static Either<String, Optional<HttpAuthority>> of(RequestTarget target, HeaderFields headers) {
		Optional<String> field = headers.first(HOST);
		Optional<HttpAuthority> host = field.flatMap((text) -> HttpAuthority.parse(text, target.defaultPort()));
		if (host.isEmpty() && field.filter((text) -> !text.isEmpty()).isPresent()) {
			return Either.left("the Host field is not a host with an optional port");
		}
		if (target.authority().isEmpty()) {
			return Either.right(host);
		}
		Optional<HttpAuthority> named = target.authority()
			.flatMap((text) -> HttpAuthority.parse(text, target.defaultPort()));
		boolean differs = field.isPresent() && host.filter(named.get()::isEquivalentTo).isEmpty();
		return differs ? Either.left("the request target names another host than the Host field") : Either.right(named);
	}

	/**
	 * Adds the host of the target to a request without a {@code Host} field.
	 * @param target target of the request
	 * @param headers header fields of the request
	 * @return the fields, with a {@code Host} field if the target names a host
	 */
	static HeaderFields withHost(RequestTarget target, HeaderFields headers) {
		if (headers.first(HOST).isPresent() || target.authority().isEmpty()) {
			return headers;
		}
		List<String> pairs = new ArrayList<>(headers.pairs());
		pairs.add(HOST);
		pairs.add(target.authority().get());
		return HeaderFields.of(pairs);
	}

}
