package io.lavenderroad.node.http;

import java.net.InetAddress;
import java.util.Optional;

import io.lavenderroad.core.http.HttpAuthority;

/**
 * One complete request of a caller.
 *
 * @param method HTTP method
 * @param target path with query, as the caller sent it
 * @param authority host and port that the request names, empty if it names none
 * @param headers header fields
 * @param body complete body, empty if there is none
 * @param remoteAddress address of the caller
 * @param localAddress address that the caller connected to
 * @param departure cancelled when the caller closes its connection
 */
public record IncomingRequest(String method, String target, Optional<HttpAuthority> authority, HeaderFields headers,
		byte[] body, InetAddress remoteAddress, InetAddress localAddress, Cancellation departure) {

	/**
	 * Returns the path.
	 * @return the target without the query
	 */
	public String path() {
		int queryStart = this.target.indexOf('?');
		return (queryStart < 0) ? this.target : this.target.substring(0, queryStart);
	}

}
