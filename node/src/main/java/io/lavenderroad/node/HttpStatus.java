package io.lavenderroad.node;

/**
 * HTTP status codes that the node generates or interprets.
 */
final class HttpStatus {

	static final int OK = 200;

	static final int BAD_REQUEST = 400;

	static final int UNAUTHORIZED = 401;

	static final int NOT_FOUND = 404;

	static final int METHOD_NOT_ALLOWED = 405;

	static final int CONFLICT = 409;

	static final int BODY_TOO_LARGE = 413;

	static final int TOO_MANY_REQUESTS = 429;

	static final int INTERNAL_ERROR = 500;

	static final int BAD_GATEWAY = 502;

	static final int UNAVAILABLE = 503;

	static final int GATEWAY_TIMEOUT = 504;

	private HttpStatus() {
	}

}
