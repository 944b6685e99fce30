package io.lavenderroad.node;

/**
 * System properties of the JDK's HTTP server and client. They are read once by the JDK,
 * so they are set before the first use; a launcher may also set them on the command line.
 */
public final class HttpProperties {

	private HttpProperties() {
	}

	/**
	 * Sets the properties that nodes and control members depend on.
	 */
	public static void set() {
		// One attempt for each exchange: by default the client resends a request when a
		// reused connection turns out to be closed.
		System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
		System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
		System.setProperty("jdk.httpclient.disableRetryConnect", "true");
		// The Host header of the caller is forwarded.
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		// Shorter than the usual keep-alive timeout of servers, so that the client closes
		// idle connections first.
		System.setProperty("jdk.httpclient.keepalive.timeout", "4");
		// Without this, small answers wait up to 40 ms for a delayed acknowledgement.
		System.setProperty("sun.net.httpserver.nodelay", "true");
		// Maximum time in which a caller must send its request, in seconds.
		System.setProperty("sun.net.httpserver.maxReqTime", "30");
		// Maximum time in which a caller must read its answer, in seconds. Pages are at
		// most some hundred kilobytes.
		System.setProperty("sun.net.httpserver.maxRspTime", "60");
		// The usual value, stated because the heap of a process depends on it: a head of
		// 200 fields is far below the cost of one with thousands.
		System.setProperty("sun.net.httpserver.maxReqHeaders", "200");
		// In bytes, with 32 bytes added for each field: 16 KB of text in 200 fields are
		// 22 KB. The usual value of 384 KB for each of 400 connections exceeds the heap.
		System.setProperty("sun.net.httpserver.maxReqHeaderSize", "32768");
		// Further connections are closed immediately. Each open one takes about 20 KB of
		// heap.
		System.setProperty("jdk.httpserver.maxConnections", "400");
		System.setProperty("sun.net.httpserver.maxIdleConnections", "400");
		// Buffers of 4 KB in place of 16 KB for each connection to the backend server.
		System.setProperty("jdk.httpclient.bufsize", "4096");
	}

}
