package io.lavenderroad.model;

import java.util.Objects;

/**
 * Rules for the requests of one route. They are the same whether the route belongs to a
 * service or is chosen by host.
 *
 * @param route name of the route; evidence is kept for each route
 * @param idempotent whether running a request twice has the same effect as running it
 * once
 * @param timeoutMillis maximum time for a whole call, in milliseconds
 * @param targetLatencyMillis time within which callers expect the answer, in milliseconds
 * @param priority priority among the routes of a service; 0 is the highest
 * @param maximumAttempts maximum number of backend servers that one request may reach
 * @param maximumBodyBytes maximum size of a request body, in bytes
 */
public record CallRules(String route, boolean idempotent, int timeoutMillis, int targetLatencyMillis, int priority,
		int maximumAttempts, int maximumBodyBytes) {

	/**
	 * Priority of routes that declare none.
	 */
	public static final int DEFAULT_PRIORITY = 0;

	/**
	 * Maximum number of backend servers that a request may reach if its route declares
	 * none.
	 */
	public static final int DEFAULT_MAXIMUM_ATTEMPTS = 3;

	public CallRules {
		Objects.requireNonNull(route, "route");
	}

	/**
	 * Returns the latency objective: a call waits for a slot only if it is expected to
	 * end within this time. It is the target latency, or half of the timeout where the
	 * target leaves no time for a short wait.
	 * @return milliseconds
	 */
	public int latencyObjectiveMillis() {
		return Math.max(this.targetLatencyMillis, this.timeoutMillis / 2);
	}

}
