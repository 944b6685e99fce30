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
 * @param priority rank of the call, see {@link io.lavenderroad.policy.calls.CallRank}; 0
 * is the highest
 * @param latencyObjectiveMillis time that is left of the latency objective, 0 if it has
 * passed
 * @param team name of the team that made the call, empty if there is none
 */
record CallMetadata(String requestId, String callerService, boolean idempotent, CallOrigin origin, int priority,
		int latencyObjectiveMillis, String team) {

	/**
	 * Metadata of a call that states none.
	 */
	static final CallMetadata NONE = new CallMetadata("", "", false, CallOrigin.UNKNOWN, 0, 0, "");

}
