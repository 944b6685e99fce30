package io.lavenderroad.policy.calls;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.CallRules;

/**
 * Decides whether a call is retried after an unsuccessful attempt. An attempt that a node
 * refused before it reached the backend server costs the servers nothing and may be
 * repeated at a few other endpoints without using the budget. An attempt that reached a
 * backend server counts against the maximum number of attempts of the route and takes a
 * token from the retry budget.
 */
public final class RetryDecision {

	/**
	 * Number of refusals by nodes after which a call is not retried. Each one costs a
	 * round trip between failure domains and the transfer of the request.
	 */
	static final int MAXIMUM_REFUSALS = 3;

	private final CallRules rules;

	private final RetryBudget budget;

	private final int maximumArrivals;

	private int arrivals;

	private int refusals;

	/**
	 * Starts without any attempts.
	 * @param rules rules of the route
	 * @param maximumAttempts maximum number of attempts that may reach a backend server
	 * @param budget retry budget of the service
	 */
	public RetryDecision(CallRules rules, int maximumAttempts, RetryBudget budget) {
		this.rules = rules;
		this.budget = budget;
		this.maximumArrivals = maximumAttempts;
	}

	/**
	 * Decides whether to retry after an attempt.
	 * @param verdict execution verdict of the attempt
	 * @param arrived whether the backend server received the request
	 * @return whether another endpoint may be tried
	 */
	public boolean mayRetry(ExecutionVerdict verdict, boolean arrived) {
		if (verdict != ExecutionVerdict.NOT_RUN && !this.rules.idempotent()) {
			return false;
		}
		if (!arrived) {
			this.refusals++;
			return this.refusals < MAXIMUM_REFUSALS;
		}
		this.arrivals++;
		return this.arrivals < this.maximumArrivals && this.budget.tryRetry();
	}

}
