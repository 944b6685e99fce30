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
 * @param idempotent whether running a request twice has the same effect as running it
 * once
 * @param timeoutMillis maximum time for a whole call, in milliseconds
 * @param maximumBodyBytes maximum size of a request body, in bytes
 */
record RouteStructure(String name, String method, String pathPrefix, TemplateField<Boolean> idempotent,
		TemplateField<Long> timeoutMillis, TemplateField<Integer> maximumBodyBytes) {

	private static final List<String> METHODS = List.of(Route.ANY_METHOD, "GET", "HEAD", "POST", "PUT", "PATCH",
			"DELETE", "OPTIONS");

	private static final Pattern PATH_PREFIX = Pattern.compile("/[A-Za-z0-9._~!&'()+,;=:@%/-]{0,255}");

	private static final Optional<Range> TIMEOUT_MILLIS = Optional.of(new Range(1, 600_000));

	private static final long DEFAULT_TIMEOUT_MILLIS = 1_000;

	/**
	 * Allowed limits for a request body. A body is sent in one frame together with its
	 * headers, so the maximum is half of the default frame limit.
	 */
	private static final Optional<Range> BODY_BYTES = Optional.of(new Range(0, 4 * 1024 * 1024));

	private static final int DEFAULT_BODY_BYTES = 64 * 1024;

	static RouteStructure read(YamlNode node, ParameterScope scope) {
		RouteStructure route = new RouteStructure(
				node.child("name")
					.requiredText(ParameterType.NAME.allowed(Optional.empty()), ParameterType.NAME_PATTERN),
				node.child("method").oneOf(METHODS, Route.ANY_METHOD),
				node.child("path-prefix").requiredText("a path prefix that starts with a slash", PATH_PREFIX),
				TemplateField.readRequired(node.child("idempotent"), ParameterType.BOOLEAN, Optional.empty(), scope),
				TemplateField.read(node.child("timeout"), ParameterType.DURATION, TIMEOUT_MILLIS, scope),
				TemplateField.read(node.child("largest-body-bytes"), ParameterType.INTEGER, BODY_BYTES, scope));
		node.rejectUnknownKeys();
		return route;
	}

	/**
	 * Returns whether this route matches every request of another route. If it comes
	 * first, the other one is never chosen.
	 * @param later the route that comes later
	 * @return true if the later route is never chosen
	 */
	boolean shadows(RouteStructure later) {
		boolean matchesMethod = this.method.equals(Route.ANY_METHOD) || this.method.equals(later.method);
		return matchesMethod && new Route(this.name, Route.ANY_METHOD, this.pathPrefix, true, 1, 0)
			.matches(Route.ANY_METHOD, later.pathPrefix);
	}

	Route resolve(Map<String, ParameterValue> values) {
		return new Route(this.name, this.method, this.pathPrefix, this.idempotent.resolve(values).orElse(false),
				this.timeoutMillis.resolve(values).orElse(DEFAULT_TIMEOUT_MILLIS).intValue(),
				this.maximumBodyBytes.resolve(values).orElse(DEFAULT_BODY_BYTES));
	}

}
