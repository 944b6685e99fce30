package io.lavenderroad.node;

import io.lavenderroad.policy.calls.CallOrigin;

/**
 * What the node of a backend server must know of a call besides its content.
 *
 * @param requestId id of the request for the logs, empty if it has none
 * @param callerService service beside the node where the request entered
 * @param idempotent whether the request may be run again, so that its run may be
 * cancelled when its caller leaves
 * @param origin who made the call, as far as the node knows where it entered
 * @param priority rank of the call, 0 for the most urgent
 * @param goalMillis time within which the answer is worth most, 0 if that has passed
 */
record CallTraits(String requestId, String callerService, boolean idempotent, CallOrigin origin, int priority,
		int goalMillis) {

	/**
	 * Traits of a call without any statement.
	 */
	static final CallTraits NONE = new CallTraits("", "", false, CallOrigin.UNKNOWN, 0, 0);

}
