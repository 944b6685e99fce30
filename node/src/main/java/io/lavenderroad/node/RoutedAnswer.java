package io.lavenderroad.node;

import io.lavenderroad.policy.calls.RetryAdvice;

/**
 * Final outcome of a call.
 *
 * @param answer the outcome
 * @param version backend server version of the last attempt, empty if there was none
 * @param attempts number of endpoints that were tried
 * @param targetMillis target latency of the route
 * @param retryAfterMillis delay before a retry after a refusal, 0 to derive it from the
 * target latency
 * @param team name of the team that made the call, empty if there is none
 */
record RoutedAnswer(CallAnswer answer, String version, int attempts, int targetMillis, long retryAfterMillis,
		String team) {

	RoutedAnswer(CallAnswer answer, String version, int attempts, int targetMillis) {
		this(answer, version, attempts, targetMillis, 0, "");
	}

	/**
	 * Creates the outcome of a call that was sent to no endpoint.
	 * @param answer the outcome
	 * @return the final outcome
	 */
	static RoutedAnswer notAttempted(CallAnswer answer) {
		return new RoutedAnswer(answer, "", 0, RetryAdvice.DEFAULT_TARGET_MILLIS);
	}

	/**
	 * Creates the refusal of a call that was sent to no endpoint.
	 * @param status status code
	 * @param reason short reason
	 * @return the final outcome, with the verdict "not run"
	 */
	static RoutedAnswer refused(int status, String reason) {
		return notAttempted(CallAnswer.notRun(status, reason));
	}

	RoutedAnswer withRetryAfterMillis(long millis) {
		return new RoutedAnswer(this.answer, this.version, this.attempts, this.targetMillis, millis, this.team);
	}

	RoutedAnswer withTeam(String name) {
		return new RoutedAnswer(this.answer, this.version, this.attempts, this.targetMillis, this.retryAfterMillis,
				name);
	}

}
