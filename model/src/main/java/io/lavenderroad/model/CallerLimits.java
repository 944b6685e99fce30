package io.lavenderroad.model;

/**
 * What a caller may send to a node and how long it may take.
 *
 * @param largestHeaderBytes largest request line with headers, in bytes
 * @param largestBodyBytes largest request body, in bytes
 * @param headerTimeoutMillis longest time from the first byte of a request to the end of
 * its headers
 * @param idleTimeoutMillis how long a connection without a request stays open
 */
public record CallerLimits(int largestHeaderBytes, int largestBodyBytes, int headerTimeoutMillis,
		int idleTimeoutMillis) {

	/**
	 * Limits of a mesh that sets none.
	 */
	public static final CallerLimits DEFAULT = new CallerLimits(64 * 1024, 4 * 1024 * 1024, 30_000, 60_000);

}
