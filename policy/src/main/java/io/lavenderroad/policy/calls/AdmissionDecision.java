package io.lavenderroad.policy.calls;

/**
 * Answer of an admission queue to a new call.
 */
public enum AdmissionDecision {

	/**
	 * The call holds a slot and may run.
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
	 * The customer holds its whole share while others wait.
	 */
	OVER_SHARE,

	/**
	 * The call would not get a slot and an answer before its deadline.
	 */
	TOO_LATE

}
