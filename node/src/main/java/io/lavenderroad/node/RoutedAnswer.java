package io.lavenderroad.node;

import io.lavenderroad.policy.calls.RetryAdvice;

/**
 * Final outcome of a call.
 *
 * @param answer the outcome
 * @param version backend server version of the last attempt, empty if there was none
 * @param attempts number of endpoints that were tried
 * @param targetMillis target latency of the route
 */
record RoutedAnswer(CallAnswer answer, String version, int attempts, int targetMillis) {

	/**
	 * Creates the outcome of a call that was sent to no endpoint.
	 * @param answer the outcome
	 * @return the final outcome
	 */
	static RoutedAnswer notAttempted(CallAnswer answer) {
		return new RoutedAnswer(answer, "", 0, RetryAdvice.DEFAULT_TARGET_MILLIS);
	}

}
