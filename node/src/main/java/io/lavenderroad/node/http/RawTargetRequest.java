package io.lavenderroad.node.http;

import java.net.URI;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpRequestFactory;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/**
 * Head of a request that keeps its target as it was received. The class of the library
 * reads the target as a URI and drops the first segment of a path that begins with two
 * slashes.
 */
final class RawTargetRequest extends BasicClassicHttpRequest {

	/**
	 * Creates requests for the parser.
	 */
	static final HttpRequestFactory<ClassicHttpRequest> FACTORY = new HttpRequestFactory<>() {

		@Override
		public ClassicHttpRequest newHttpRequest(String method, String target) {
			return new RawTargetRequest(method, target);
		}

		@Override
		public ClassicHttpRequest newHttpRequest(String method, URI target) {
			return new RawTargetRequest(method, target.toString());
		}

	};

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
