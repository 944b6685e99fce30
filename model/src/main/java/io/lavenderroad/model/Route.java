package io.lavenderroad.model;

import java.util.Objects;

/**
 * One route of a service.
 *
 * @param name name unique within the service; evidence is kept for each route
 * @param method HTTP method in upper case, or {@code *} for every method
 * @param pathPrefix prefix of the path, starting with a slash
 * @param idempotent whether running a request twice has the same effect as running it
 * once
 * @param timeoutMillis maximum time for a whole call, in milliseconds
 * @param maximumBodyBytes maximum size of a request body, in bytes
 */
public record Route(String name, String method, String pathPrefix, boolean idempotent, int timeoutMillis,
		int maximumBodyBytes) {

	/**
	 * Method that matches every request.
	 */
	public static final String ANY_METHOD = "*";

	public Route {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
	}

	/**
	 * Returns whether this route matches a request. A prefix matches whole path segments:
	 * {@code /orders} matches {@code /orders/7} but not {@code /ordersheet}.
	 * @param requestMethod method in upper case
	 * @param path path without query
	 * @return true if method and path match
	 */
	public boolean matches(String requestMethod, String path) {
		if (!this.method.equals(ANY_METHOD) && !this.method.equals(requestMethod)) {
			return false;
		}
		if (!path.startsWith(this.pathPrefix)) {
			return false;
		}
		return this.pathPrefix.endsWith("/") || path.length() == this.pathPrefix.length()
				|| path.charAt(this.pathPrefix.length()) == '/';
	}

	/**
	 * Returns the rules for requests on this route. The target latency is the timeout,
	 * since these routes declare no target.
	 * @return the rules, with the default priority and the default number of attempts
	 */
	public CallRules rules() {
		return new CallRules(this.name, this.idempotent, this.timeoutMillis, this.timeoutMillis,
				CallRules.DEFAULT_PRIORITY, CallRules.DEFAULT_MAXIMUM_ATTEMPTS, this.maximumBodyBytes);
	}

}
