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
 * @param accessKey access key of the caller's team, empty if the caller sent none,
 * {@link #UNUSABLE_KEY} if it sent credentials of another kind
 * @param deadlineMillis how long the caller waits for the answer, if stated
 * @param attemptBudget retries that this hop and all later ones may spend, if stated
 */
public record CallTerms(String requestId, String service, String customer, String key, String accessKey,
		OptionalInt deadlineMillis, OptionalInt attemptBudget) {

	/**
	 * Represents credentials that contain no access key. No team holds it, since a header
	 * field cannot contain this character.
	 */
	public static final String UNUSABLE_KEY = "\0";

	public CallTerms {
		Objects.requireNonNull(requestId, "requestId");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(customer, "customer");
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(accessKey, "accessKey");
		Objects.requireNonNull(deadlineMillis, "deadlineMillis");
		Objects.requireNonNull(attemptBudget, "attemptBudget");
	}

	/**
	 * Returns the terms without the access key, which must not reach logs and errors.
	 */
	@Override
	public String toString() {
		return "terms of request " + this.requestId + ", service " + this.service + ", customer " + this.customer;
	}

}
