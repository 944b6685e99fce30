package io.lavenderroad.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;

/**
 * HTTP server for pages that have a separate listen address.
 */
final class PageServer implements AutoCloseable {

	private static final int BACKLOG = 128;

	private final HttpServer server;

	private PageServer(HttpServer server) {
		this.server = server;
	}

	static PageServer start(InetSocketAddress address, Map<String, HttpHandler> pages) throws IOException {
		HttpServer server = HttpServer.create(address, BACKLOG);
		server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
		pages.forEach(server::createContext);
		server.start();
		return new PageServer(server);
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
