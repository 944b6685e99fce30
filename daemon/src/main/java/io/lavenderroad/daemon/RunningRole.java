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

	/**
	 * Takes changed settings. What cannot change while the process runs is ignored.
	 * @param settings the checked settings
	 */
	default void reload(DaemonSettings settings) {
	}

}
