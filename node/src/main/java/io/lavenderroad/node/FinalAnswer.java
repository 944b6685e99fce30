package io.lavenderroad.node;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.node.http.HeaderFields;

/**
 * Final outcome of a request, from which the response to the caller is built.
 *
 * @param requestId id of the request, empty if it has none
 * @param verdict whether the request ran; only {@code RAN} carries the answer of the
 * backend server
 * @param status status code
 * @param reason why the node generated the answer, empty if the backend server did
 * @param headers end-to-end fields of the backend server's answer
 * @param body body of the backend server's answer
 * @param backendVersion version of the backend server of the last attempt, empty if there
 * was none
 * @param configurationVersion version of the configuration that was applied
 * @param retryAfterMillis delay before a retry after a refusal, 0 if there is none
 */
public record FinalAnswer(String requestId, ExecutionVerdict verdict, int status, String reason, HeaderFields headers,
		byte[] body, String backendVersion, long configurationVersion, long retryAfterMillis) {

}
