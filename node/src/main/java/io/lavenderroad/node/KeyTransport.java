package io.lavenderroad.node;

import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.model.Endpoint;
import io.vavr.control.Either;

/**
 * Sends messages between holders of idempotency keys.
 */
@FunctionalInterface
interface KeyTransport {

	/**
	 * Sends a request and waits for the answer.
	 * @param <T> type of the answer
	 * @param holder node that receives the request
	 * @param request a message of {@link KeyMessages}
	 * @param timeoutMillis maximum wait
	 * @param answerType class of the answer
	 * @return the answer, or the failure
	 */
	<T> Either<CallFailure, T> call(Endpoint holder, Object request, long timeoutMillis, Class<T> answerType);

}
