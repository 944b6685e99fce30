package io.lavenderroad.policy.calls;

import io.lavenderroad.model.ServiceConfiguration;

/**
 * Token bucket that limits retries to a share of the calls: each call adds the share of a
 * token, each retry takes a whole one. Safe for use by many threads.
 */
public final class RetryBudget {

	/**
	 * Tokens at the start and at most. They let a node with little traffic retry after
	 * the loss of a server.
	 */
	public static final int BURST = 10;

	private long tokensBasisPoints = (long) BURST * ServiceConfiguration.WHOLE_SHARE;

	/**
	 * Counts a call.
	 * @param shareBasisPoints retries allowed per call, in 1/10,000
	 */
	public synchronized void call(int shareBasisPoints) {
		long most = (long) BURST * ServiceConfiguration.WHOLE_SHARE;
		this.tokensBasisPoints = Math.min(most, this.tokensBasisPoints + Math.max(0, shareBasisPoints));
	}

	/**
	 * Takes a token for a retry.
	 * @return true if the retry is allowed
	 */
	public synchronized boolean tryRetry() {
		if (this.tokensBasisPoints < ServiceConfiguration.WHOLE_SHARE) {
			return false;
		}
		this.tokensBasisPoints -= ServiceConfiguration.WHOLE_SHARE;
		return true;
	}

}
