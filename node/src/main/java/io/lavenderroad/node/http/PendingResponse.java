package io.lavenderroad.node.http;

import java.util.concurrent.CompletableFuture;

/**
 * A response that has yet to be written.
 *
 * @param method method of the request
 * @param response completed with the response when it is ready
 * @param last whether the connection is closed after the response
 * @param departure cancelled if the caller leaves before the response is written
 */
record PendingResponse(String method, CompletableFuture<OutgoingResponse> response, boolean last,
		Cancellation departure) {

}
