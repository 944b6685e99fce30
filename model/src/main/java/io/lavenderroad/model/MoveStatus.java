package io.lavenderroad.model;

/**
 * Status of a move.
 */
public enum MoveStatus {

	/**
	 * Traffic is being shifted to the new version step by step.
	 */
	RAMPING,

	/**
	 * All traffic is on the new version, which is still compared and can be withdrawn.
	 */
	WATCHING,

	/**
	 * The move is finished.
	 */
	DONE,

	/**
	 * The new version was withdrawn and gets no traffic.
	 */
	TAKEN_BACK;

	/**
	 * Returns whether the move has its final verdict.
	 * @return true for {@code DONE} and {@code TAKEN_BACK}
	 */
	public boolean isFinal() {
		return this == DONE || this == TAKEN_BACK;
	}

}
