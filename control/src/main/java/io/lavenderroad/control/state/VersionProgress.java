package io.lavenderroad.control.state;

/**
 * Tells how far accepted versions have come.
 */
@FunctionalInterface
public interface VersionProgress {

	/**
	 * Waits until a mesh version is in force on every node in reach.
	 * @param version the version
	 * @param timeoutMillis longest wait
	 * @return false if some node in reach has an older one at the end of the wait
	 */
	boolean awaitInForce(long version, long timeoutMillis);

}
