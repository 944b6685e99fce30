package io.lavenderroad.node;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * Parameters of a call that the caller states with its request.
 *
 * @param requestId id of the request, empty if it has none
 * @param service name of the service that is called, empty if the host decides
 * @param customer customer of the call, empty if unnamed
 * @param key idempotency key, empty if there is none
 * @param deadlineMillis how long the caller waits for the answer, if stated
 * @param attemptBudget retries that this hop and all later ones may spend, if stated
 */
public record CallTerms(String requestId, String service, String customer, String key, OptionalInt deadlineMillis,
		OptionalInt attemptBudget) {

	public CallTerms {
		Objects.requireNonNull(requestId, "requestId");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(customer, "customer");
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(deadlineMillis, "deadlineMillis");
		Objects.requireNonNull(attemptBudget, "attemptBudget");
	}

}
