package io.lavenderroad.model;

import java.util.Objects;

/**
 * How the requests of one route are treated, whichever way the route was found.
 *
 * @param route name of the route; evidence is kept for each route
 * @param idempotent whether running a request twice has the same effect as running it
 * once
 * @param timeoutMillis longest time for a whole call, in milliseconds
 * @param targetLatencyMillis time within which callers expect the answer, in milliseconds
 * @param priority rank among the routes of a service; 0 is the most urgent
 * @param mostAttempts most backend servers that one request may reach
 * @param largestBodyBytes largest request body, in bytes
 */
public record CallRules(String route, boolean idempotent, int timeoutMillis, int targetLatencyMillis, int priority,
		int mostAttempts, int largestBodyBytes) {

	/**
	 * Rank of routes that state none.
	 */
	public static final int USUAL_PRIORITY = 0;

	/**
	 * Backend servers that a request of a route may reach that states no number.
	 */
	public static final int USUAL_ATTEMPTS = 3;

	public CallRules {
		Objects.requireNonNull(route, "route");
	}

	/**
	 * Returns within which time a call must be expected to end to wait for a slot: the
	 * target latency, or half of the time-out where the target leaves no room for a short
	 * wait.
	 * @return milliseconds
	 */
	public int goalMillis() {
		return Math.max(this.targetLatencyMillis, this.timeoutMillis / 2);
	}

}
