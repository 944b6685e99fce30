package io.lavenderroad.model;

/**
 * What a move does when there is too little evidence and its deadline is near.
 */
public enum ThinEvidence {

	/**
	 * Stay at the present share and miss the deadline rather than risk customers.
	 */
	HOLD,

	/**
	 * Go on with the ramp to meet the deadline as long as nothing speaks against it.
	 */
	PROCEED

}
