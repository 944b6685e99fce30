package io.lavenderroad.node;

/**
 * Load that a backend server states in an answer.
 *
 * @param running requests that it runs
 * @param waiting requests that wait at it
 * @param slots requests that it runs at the same time at most
 * @param slownessPercent how long work takes on its VM at the moment, 100 is usual
 */
public record ServerLoad(int running, int waiting, int slots, int slownessPercent) {

	/**
	 * Slowness of a VM at its usual speed, in percent.
	 */
	public static final int USUAL_SLOWNESS_PERCENT = 100;

}
