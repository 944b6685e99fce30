package io.lavenderroad.model;

/**
 * What a move does if there is not enough evidence and its deadline is near.
 */
public enum ThinEvidence {

	/**
	 * Keep the current share and miss the deadline rather than put customers at risk.
	 */
	HOLD,

	/**
	 * Continue the ramp to meet the deadline as long as the evidence shows no regression.
	 */
	PROCEED

}
