package io.lavenderroad.model;

/**
 * Limits on the requests and connections that a node accepts from callers.
 *
 * @param maximumHeaderBytes maximum size of the request line and headers, in bytes
 * @param maximumBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMillis maximum time from the first byte of a request to the end of
 * its headers, in milliseconds
 * @param idleTimeoutMillis time that a connection without a request stays open, in
 * milliseconds
 */
public record CallerLimits(int maximumHeaderBytes, int maximumBodyBytes, int headerTimeoutMillis,
		int idleTimeoutMillis) {

	/**
	 * Limits of a mesh that declares none.
	 */
	public static final CallerLimits DEFAULT = new CallerLimits(64 * 1024, 4 * 1024 * 1024, 30_000, 60_000);

}
