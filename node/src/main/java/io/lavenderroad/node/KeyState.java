package io.lavenderroad.node;

/**
 * State of an idempotency key at a holder, in the order in which a later one replaces an
 * earlier one.
 */
enum KeyState {

	/**
	 * Claimed by a call that has not ended.
	 */
	RUNNING,

	/**
	 * The call may have run, and its outcome is lost.
	 */
	UNKNOWN,

	/**
	 * The call ran; its answer was too large or too old to keep.
	 */
	DONE_WITHOUT_ANSWER,

	/**
	 * The call ran and its whole answer is kept.
	 */
	DONE

}
