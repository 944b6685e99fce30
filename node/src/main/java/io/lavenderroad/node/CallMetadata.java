package io.lavenderroad.node;

import io.lavenderroad.policy.calls.CallOrigin;

/**
 * Metadata of a call that the node of the caller sends to the node of the backend server.
 *
 * @param requestId id of the request for the logs, empty if it has none
 * @param callerService service of the node where the request entered the mesh
 * @param idempotent whether the request may run again; if so, its run is cancelled when
 * its caller leaves
 * @param origin who made the call, as far as the node where it entered has determined
 * @param priority priority of the call, 0 is the highest
 * @param latencyObjectiveMillis time that is left of the latency objective, 0 if it has
 * passed
 */
record CallMetadata(String requestId, String callerService, boolean idempotent, CallOrigin origin, int priority,
		int latencyObjectiveMillis) {

	/**
	 * Metadata of a call that states none.
	 */
	static final CallMetadata NONE = new CallMetadata("", "", false, CallOrigin.UNKNOWN, 0, 0);

}
