package io.lavenderroad.node.http;

/**
 * Answers requests of callers.
 */
@FunctionalInterface
public interface RequestHandler {

	/**
	 * Answers a request. Runs on the task of the connection and may block; requests on
	 * one connection are answered one after the other.
	 * @param request the request
	 * @return the answer
	 */
	OutgoingResponse handle(IncomingRequest request);

}
