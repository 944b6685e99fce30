package io.lavenderroad.node;

/**
 * State of an idempotency key at a holder. When records conflict, the later state in this
 * order wins.
 */
enum KeyState {

	/**
	 * Claimed by a call that has not finished.
	 */
	RUNNING,

	/**
	 * The call may have run, but its outcome is lost.
	 */
	UNKNOWN,

	/**
	 * The call ran; its answer was too large to keep or was dropped to free memory.
	 */
	DONE_WITHOUT_ANSWER,

	/**
	 * The call ran and its complete answer is kept.
	 */
	DONE

}
