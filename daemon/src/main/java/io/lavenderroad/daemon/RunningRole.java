package io.lavenderroad.daemon;

/**
 * A started role.
 */
@FunctionalInterface
public interface RunningRole {

	/**
	 * Shuts down gracefully: takes no new work, finishes what runs, and returns.
	 */
	void shutDown();

}
