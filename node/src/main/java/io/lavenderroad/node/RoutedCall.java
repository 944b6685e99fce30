package io.lavenderroad.node;

import java.util.List;

import io.lavenderroad.model.CallRules;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.node.http.Cancellation;

/**
 * A checked call with its route.
 *
 * @param requestId id of the request, empty if it has none
 * @param service the service
 * @param rules rules of the route
 * @param method HTTP method
 * @param target path with query
 * @param headers end-to-end headers: names and values in turn
 * @param body whole request body
 * @param customer customer of the call, empty if unnamed
 * @param key idempotency key, empty if there is none
 * @param goalMillis when the answer should be there, on the clock of this node
 * @param deadlineMillis when the answer is due, on the clock of this node
 * @param attemptBudget retries that this node and all later ones may spend
 * @param departure is cancelled when the caller leaves
 */
record RoutedCall(String requestId, ServiceConfiguration service, CallRules rules, String method, String target,
		List<String> headers, byte[] body, String customer, String key, long goalMillis, long deadlineMillis,
		int attemptBudget, Cancellation departure) {

}
