package io.lavenderroad.policy.calls;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.CallRules;

/**
 * Decides whether a call is sent again after an attempt without success. An attempt that
 * a node refused before its backend server saw it costs the servers nothing and may be
 * repeated freely for a few endpoints; one that arrived counts against the attempts of
 * the route and needs the retry budget.
 */
public final class RetryDecision {

	/**
	 * Refusals by nodes after which a call is given up. Each takes one trip between
	 * failure domains and the bytes of the request.
	 */
	static final int MOST_REFUSALS = 3;

	private final CallRules rules;

	private final RetryBudget budget;

	private final int mostArrivals;

	private int arrivals;

	private int refusals;

	/**
	 * Starts with no attempt made.
	 * @param rules rules of the route
	 * @param mostAttempts most backend servers that the request may reach
	 * @param budget budget of the service
	 */
	public RetryDecision(CallRules rules, int mostAttempts, RetryBudget budget) {
		this.rules = rules;
		this.budget = budget;
		this.mostArrivals = mostAttempts;
	}

	/**
	 * Decides after an attempt.
	 * @param verdict verdict of the attempt
	 * @param arrived whether the backend server received the request
	 * @return true to try another endpoint
	 */
	public boolean mayRetry(ExecutionVerdict verdict, boolean arrived) {
		if (verdict != ExecutionVerdict.NOT_RUN && !this.rules.idempotent()) {
			return false;
		}
		if (!arrived) {
			this.refusals++;
			return this.refusals < MOST_REFUSALS;
		}
		this.arrivals++;
		return this.arrivals < this.mostArrivals && this.budget.tryRetry();
	}

}
