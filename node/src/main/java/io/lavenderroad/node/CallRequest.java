package io.lavenderroad.node;

import java.util.List;

/**
 * Request to the node of a backend server to run one call.
 *
 * @param callId number chosen by the sender, unique on its connection
 * @param service name of the service
 * @param version backend server version that the traffic split selected
 * @param route name of the route
 * @param method HTTP method
 * @param target path with query, as the caller sent it
 * @param headers end-to-end headers, names and values alternating
 * @param body complete request body
 * @param customer customer of the call, empty if unnamed
 * @param key idempotency key, empty if there is none
 * @param remainingMillis time until the deadline
 * @param attemptBudget retries that the whole chain of later calls may spend
 * @param metadata further metadata of the call
 */
record CallRequest(long callId, String service, String version, String route, String method, String target,
		List<String> headers, byte[] body, String customer, String key, int remainingMillis, int attemptBudget,
		CallMetadata metadata) {

}
