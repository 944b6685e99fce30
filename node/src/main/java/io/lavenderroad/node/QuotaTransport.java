package io.lavenderroad.node;

import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.policy.quota.QuotaGrant;
import io.lavenderroad.policy.quota.QuotaRequest;
import io.vavr.control.Either;

/**
 * Sends quota requests to control members.
 */
@FunctionalInterface
interface QuotaTransport {

	/**
	 * Sends a request and waits for the answer. A later answer is dropped.
	 * @param address {@code ip:port} of the member
	 * @param request the request
	 * @param timeoutMillis maximum wait
	 * @return the answer or the failure
	 */
	Either<CallFailure, QuotaGrant> send(String address, QuotaRequest request, long timeoutMillis);

}
