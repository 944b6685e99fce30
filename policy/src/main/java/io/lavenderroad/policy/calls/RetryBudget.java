package io.lavenderroad.policy.calls;

import io.lavenderroad.model.ServiceConfiguration;

/**
 * Token bucket that limits retries to a share of the calls: each call adds that share of
 * a token, each retry takes a whole token. Thread-safe.
 */
public final class RetryBudget {

	/**
	 * Initial and maximum number of tokens. They allow a node with little traffic to
	 * retry after the loss of a server.
	 */
	public static final int BURST = 10;

	private final long maximumBasisPoints;

	private long tokensBasisPoints;

	/**
	 * Creates a full bucket of the default size.
	 */
	public RetryBudget() {
		this(BURST);
	}

	/**
	 * Creates a full bucket.
	 * @param burst initial and maximum number of tokens
	 */
	public RetryBudget(int burst) {
		this.maximumBasisPoints = (long) burst * ServiceConfiguration.FULL_SHARE_BASIS_POINTS;
		this.tokensBasisPoints = this.maximumBasisPoints;
	}

	/**
	 * Counts a call.
	 * @param shareBasisPoints retries allowed per call, in 1/10,000
	 */
	public synchronized void call(int shareBasisPoints) {
		this.tokensBasisPoints = Math.min(this.maximumBasisPoints,
				this.tokensBasisPoints + Math.max(0, shareBasisPoints));
	}

	/**
	 * Takes a token for a retry.
	 * @return true if the retry is allowed
	 */
	public synchronized boolean tryRetry() {
		if (this.tokensBasisPoints < ServiceConfiguration.FULL_SHARE_BASIS_POINTS) {
			return false;
		}
		this.tokensBasisPoints -= ServiceConfiguration.FULL_SHARE_BASIS_POINTS;
		return true;
	}

}
