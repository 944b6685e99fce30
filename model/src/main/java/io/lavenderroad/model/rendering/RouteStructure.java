package io.lavenderroad.model.rendering;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import io.lavenderroad.core.settings.YamlNode;
import io.lavenderroad.model.Route;

/**
 * Route as a template declares it.
 *
 * @param name name of the route
 * @param method HTTP method, or {@code *}
 * @param pathPrefix prefix of the path
 * @param idempotent whether running a request twice is the same as running it once
 * @param timeoutMillis longest time for a whole call
 * @param largestBodyBytes largest request body
 */
record RouteStructure(String name, String method, String pathPrefix, Field<Boolean> idempotent,
		Field<Long> timeoutMillis, Field<Integer> largestBodyBytes) {

	private static final List<String> METHODS = List.of(Route.ANY_METHOD, "GET", "HEAD", "POST", "PUT", "PATCH",
			"DELETE", "OPTIONS");

	private static final Pattern PATH_PREFIX = Pattern.compile("/[A-Za-z0-9._~!&'()+,;=:@%/-]{0,255}");

	private static final Optional<Range> TIMEOUT_MILLIS = Optional.of(new Range(1, 600_000));

	private static final long DEFAULT_TIMEOUT_MILLIS = 1_000;

	/**
	 * A body travels in one frame together with its headers, so the largest body is half
	 * of the default frame limit.
	 */
	private static final Optional<Range> BODY_BYTES = Optional.of(new Range(0, 4 * 1024 * 1024));

	private static final int DEFAULT_BODY_BYTES = 64 * 1024;

	static RouteStructure read(YamlNode node, ParameterScope scope) {
		RouteStructure route = new RouteStructure(
				node.child("name")
					.requiredText(ParameterType.NAME.allowed(Optional.empty()), ParameterType.NAME_PATTERN),
				node.child("method").word(METHODS, Route.ANY_METHOD),
				node.child("path-prefix").requiredText("a path prefix that starts with a slash", PATH_PREFIX),
				Field.readRequired(node.child("idempotent"), ParameterType.TRUTH, Optional.empty(), scope),
				Field.read(node.child("timeout"), ParameterType.DURATION, TIMEOUT_MILLIS, scope),
				Field.read(node.child("largest-body-bytes"), ParameterType.INTEGER, BODY_BYTES, scope));
		node.rejectUnknownKeys();
		return route;
	}

	/**
	 * Tells whether every request of another route is served by this one if it comes
	 * first.
	 * @param later the route that comes later
	 * @return true if the later route would never be chosen
	 */
	boolean hides(RouteStructure later) {
		boolean everyMethod = this.method.equals(Route.ANY_METHOD) || this.method.equals(later.method);
		return everyMethod && new Route(this.name, Route.ANY_METHOD, this.pathPrefix, true, 1, 0)
			.matches(Route.ANY_METHOD, later.pathPrefix);
	}

	Route resolve(Map<String, ParameterValue> values) {
		return new Route(this.name, this.method, this.pathPrefix, this.idempotent.resolve(values).orElse(false),
				this.timeoutMillis.resolve(values).orElse(DEFAULT_TIMEOUT_MILLIS).intValue(),
				this.largestBodyBytes.resolve(values).orElse(DEFAULT_BODY_BYTES));
	}

}
