package io.lavenderroad.node.http;

/**
 * Handles requests of callers.
 */
@FunctionalInterface
public interface RequestHandler {

	/**
	 * Handles a request. Runs on a virtual thread of its own and may block. Pipelined
	 * requests with safe methods may run concurrently on one connection.
	 * @param request the request
	 * @return the response
	 */
	OutgoingResponse handle(IncomingRequest request);

}
