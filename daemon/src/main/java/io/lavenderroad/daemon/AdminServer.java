package io.lavenderroad.daemon;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.function.Supplier;

import com.fasterxml.jackson.jr.ob.JSON;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;

/**
 * HTTP server on the admin port of a control member: {@code GET /status} and
 * {@code GET /metrics}.
 */
final class AdminServer implements AutoCloseable {

	private static final int OK = 200;

	private static final int METHOD_NOT_ALLOWED = 405;

	private static final int INTERNAL_SERVER_ERROR = 500;

	private final HttpServer server;

	private AdminServer(HttpServer server) {
		this.server = server;
	}

	static AdminServer start(InetSocketAddress address, Supplier<Map<String, Object>> status, Supplier<String> metrics)
			throws IOException {
		HttpServer server = HttpServer.create(address, 0);
		server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
		server.createContext("/status", statusPage(status));
		server.createContext("/metrics", (exchange) -> {
			try (exchange) {
				send(exchange, OK, "text/plain; version=0.0.4", metrics.get());
			}
		});
		server.start();
		return new AdminServer(server);
	}

	/**
	 * Creates a page that returns a status as JSON.
	 * @param status supplies the fields of the status
	 * @return a handler for {@code GET}
	 */
	static HttpHandler statusPage(Supplier<Map<String, Object>> status) {
		return (exchange) -> respond(exchange, "GET", status);
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private static void respond(HttpExchange exchange, String method, Supplier<Map<String, Object>> body)
			throws IOException {
		try (exchange) {
			if (!exchange.getRequestMethod().equals(method)) {
				sendJson(exchange, METHOD_NOT_ALLOWED, Map.of("error", "only " + method + " is allowed"));
				return;
			}
			sendJson(exchange, OK, body.get());
		}
		catch (RuntimeException ex) {
			sendJson(exchange, INTERNAL_SERVER_ERROR, Map.of("error", String.valueOf(ex.getMessage())));
		}
	}

	private static void sendJson(HttpExchange exchange, int status, Map<String, Object> body) throws IOException {
		send(exchange, status, "application/json", JSON.std.asString(body));
	}

	private static void send(HttpExchange exchange, int status, String type, String text) throws IOException {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", type);
		exchange.sendResponseHeaders(status, bytes.length);
		try (OutputStream output = exchange.getResponseBody()) {
			output.write(bytes);
		}
	}

}
