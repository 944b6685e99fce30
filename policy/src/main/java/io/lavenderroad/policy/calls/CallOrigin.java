package io.lavenderroad.policy.calls;

/**
 * Who makes the calls of a route, as far as it has been determined.
 */
public enum CallOrigin {

	/**
	 * Not determined yet. The calls are treated like those of external callers.
	 */
	UNKNOWN,

	/**
	 * External callers make new calls.
	 */
	CALLER,

	/**
	 * Backend servers make the calls for requests that they run.
	 */
	SERVER

}
