package io.lavenderroad.node.http;

import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/**
 * Head of a request to the backend server that keeps its target as it was received. The
 * class of the library reads the target as a URI and drops the first segment of a path
 * that begins with two slashes.
 */
final class RawTargetRequest extends BasicClassicHttpRequest {

	private static final long serialVersionUID = 1;

	private final String target;

	/**
	 * Creates a request without header fields.
	 * @param method method of the request
	 * @param target request target, sent unchanged
	 */
	RawTargetRequest(String method, String target) {
		super(method, "/");
		this.target = target;
	}

	@Override
	public String getRequestUri() {
		return this.target;
	}

}
