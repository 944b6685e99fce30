package io.lavenderroad.daemon;

/**
 * A started role.
 */
@FunctionalInterface
public interface RunningRole {

	/**
	 * Shuts down gracefully: accepts no new work, completes the work in progress, and
	 * returns.
	 */
	void shutDown();

	/**
	 * Applies changed settings. Settings that cannot change while the process runs are
	 * ignored.
	 * @param settings the validated settings
	 */
	default void reload(DaemonSettings settings) {
	}

}
