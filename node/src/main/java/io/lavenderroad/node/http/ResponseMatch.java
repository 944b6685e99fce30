package io.lavenderroad.node.http;

/**
 * Whether a response belongs to a request, as far as its header fields tell.
 */
public enum ResponseMatch {

	/**
	 * The response names the request.
	 */
	SAME,

	/**
	 * The response names another request.
	 */
	OTHER,

	/**
	 * The response names no request.
	 */
	UNNAMED

}
