package io.lavenderroad.node;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.node.http.HeaderFields;

/**
 * Final outcome of a request as its caller gets it.
 *
 * @param requestId id of the request, empty if it has none
 * @param verdict whether the request ran; only {@code RAN} carries the answer of the
 * backend server
 * @param status status code
 * @param reason why the system generated the answer, empty if the backend server did
 * @param headers end-to-end fields of the backend server's answer
 * @param body body of the backend server's answer
 * @param backendVersion version of the backend server that was tried last, empty if none
 * was
 * @param configurationVersion version of the configuration that decided
 * @param retryAfterMillis when to come back after a refusal, 0 if that is not known
 */
public record FinalAnswer(String requestId, ExecutionVerdict verdict, int status, String reason, HeaderFields headers,
		byte[] body, String backendVersion, long configurationVersion, long retryAfterMillis) {

}
