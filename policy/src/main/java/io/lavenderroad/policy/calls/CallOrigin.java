package io.lavenderroad.policy.calls;

/**
 * Who makes the calls of a route, as far as known.
 */
public enum CallOrigin {

	/**
	 * Not known. Such calls are treated like those of callers.
	 */
	UNKNOWN,

	/**
	 * Callers make new calls.
	 */
	CALLER,

	/**
	 * Backend servers make them for requests that they run.
	 */
	SERVER

}
