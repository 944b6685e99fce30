package io.lavenderroad.tool;

import java.io.IOException;
import java.net.ConnectException;
import java.util.Optional;

/**
 * Sends one HTTP request to one control member.
 */
@FunctionalInterface
interface HttpTransport {

	/**
	 * Sends a request and waits for the complete response.
	 * @param address {@code host:port} of the member
	 * @param method method of the request
	 * @param path path and query
	 * @param body the JSON body
	 * @return the response
	 * @throws ConnectException if the connection failed, so that the request was not sent
	 * @throws IOException if the response was lost; the request may have run
	 */
	Response send(String address, String method, String path, Optional<String> body) throws IOException;

	/**
	 * Response of a member.
	 *
	 * @param status the HTTP status
	 * @param body the body
	 */
	record Response(int status, String body) {

	}

}
