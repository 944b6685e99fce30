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

	private final long mostBasisPoints;

	private long tokensBasisPoints;

	/**
	 * Creates a full bucket of the usual size.
	 */
	public RetryBudget() {
		this(BURST);
	}

	/**
	 * Creates a full bucket.
	 * @param burst tokens at the start and at most
	 */
	public RetryBudget(int burst) {
		this.mostBasisPoints = (long) burst * ServiceConfiguration.WHOLE_SHARE;
		this.tokensBasisPoints = this.mostBasisPoints;
	}

	/**
	 * Counts a call.
	 * @param shareBasisPoints retries allowed per call, in 1/10,000
	 */
	public synchronized void call(int shareBasisPoints) {
		this.tokensBasisPoints = Math.min(this.mostBasisPoints, this.tokensBasisPoints + Math.max(0, shareBasisPoints));
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
