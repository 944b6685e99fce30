package io.lavenderroad.node;

/**
 * System properties of the JDK's HTTP server and client. They are read once by the JDK,
 * so they are set before the first use; a launcher may set them on the command line as
 * well.
 */
public final class HttpProperties {

	private HttpProperties() {
	}

	/**
	 * Sets the properties that the node depends on.
	 */
	public static void set() {
		// One attempt for each exchange: the client would send a request again by itself
		// when a kept connection turns out to be closed.
		System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
		System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
		System.setProperty("jdk.httpclient.disableRetryConnect", "true");
		// The Host header of the caller is passed on.
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		// Shorter than the usual keep-alive of servers, so that the client closes first.
		System.setProperty("jdk.httpclient.keepalive.timeout", "4");
		// Without this, small answers wait up to 40 ms for a delayed acknowledgement.
		System.setProperty("sun.net.httpserver.nodelay", "true");
		// Time that a caller may take to send a request, in seconds.
		System.setProperty("sun.net.httpserver.maxReqTime", "30");
		// Further connections are closed at once. Each open one takes some 20 KB of heap.
		System.setProperty("jdk.httpserver.maxConnections", "400");
		System.setProperty("sun.net.httpserver.maxIdleConnections", "400");
		// Buffers of 4 KB in place of 16 KB for each connection to the backend server.
		System.setProperty("jdk.httpclient.bufsize", "4096");
	}

}
