package io.lavenderroad.node;

import java.util.List;

import io.lavenderroad.model.CallRules;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.node.http.Cancellation;

/**
 * A validated call with its route.
 *
 * @param requestId id of the request, empty if it has none
 * @param service the service
 * @param rules rules of the route
 * @param method HTTP method
 * @param target path with query
 * @param headers end-to-end headers, names and values alternating
 * @param body complete request body
 * @param customer customer of the call, empty if unnamed
 * @param key idempotency key, empty if there is none
 * @param objectiveMillis time by which the call should be answered (end of its latency
 * objective), on the clock of this node
 * @param deadlineMillis deadline of the call, on the clock of this node
 * @param attemptBudget retries that this hop and all later ones may spend
 * @param cancellation cancelled when the caller disconnects
 */
record RoutedCall(String requestId, ServiceConfiguration service, CallRules rules, String method, String target,
		List<String> headers, byte[] body, String customer, String key, long objectiveMillis, long deadlineMillis,
		int attemptBudget, Cancellation cancellation) {

}
