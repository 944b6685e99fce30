package io.lavenderroad.control.state;

/**
 * Reports whether accepted versions are active on the nodes.
 */
@FunctionalInterface
public interface VersionProgress {

	/**
	 * Waits until a mesh version or a newer one is active on every reachable node.
	 * @param version the version
	 * @param timeoutMillis maximum wait in milliseconds
	 * @return true if it is; false if an older version is still active on some reachable
	 * node at the end of the wait
	 */
	boolean awaitActive(long version, long timeoutMillis);

}
