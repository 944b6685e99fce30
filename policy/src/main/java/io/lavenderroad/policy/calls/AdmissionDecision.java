package io.lavenderroad.policy.calls;

/**
 * Decision of an admission queue on a new call.
 */
public enum AdmissionDecision {

	/**
	 * The call has been given a slot and may run.
	 */
	RUN,

	/**
	 * The call waits for a slot.
	 */
	WAIT,

	/**
	 * The queue is full.
	 */
	FULL,

	/**
	 * The customer uses its whole share while others wait.
	 */
	OVER_SHARE,

	/**
	 * The call is not expected to end before its deadline or within its latency
	 * objective, or its wait in a standing queue would be too long.
	 */
	TOO_LATE;

	/**
	 * Returns whether the call was admitted.
	 * @return true if it runs or waits
	 */
	public boolean isAdmitted() {
		return this == RUN || this == WAIT;
	}

}
