package io.lavenderroad.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.jr.ob.JSON;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import io.lavenderroad.core.Clock;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.policy.calls.EndpointLoad;
import org.tinylog.Logger;

/**
 * The administration pages of a node: {@code GET /metrics}, {@code GET /health}, {@code
 * GET /endpoints} and {@code POST /drain}.
 */
final class AdminApi implements HttpHandler {

	private static final int ACCEPTED = 202;

	private final Clock clock;

	private final MeshView view;

	private final NodeMetrics metrics;

	private final LocalBackend localBackend;

	private final EndpointDirectory directory;

	private final Runnable drain;

	AdminApi(Clock clock, MeshView view, NodeMetrics metrics, LocalBackend localBackend, EndpointDirectory directory,
			Runnable drain) {
		this.clock = clock;
		this.view = view;
		this.metrics = metrics;
		this.localBackend = localBackend;
		this.directory = directory;
		this.drain = drain;
	}

	@Override
	public void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			String call = exchange.getRequestMethod() + " " + exchange.getRequestURI().getRawPath();
			switch (call) {
				case "GET /metrics" -> write(exchange, HttpStatus.OK, "text/plain; version=0.0.4", this.metrics.text());
				case "GET /health" -> health(exchange);
				case "GET /endpoints" ->
					write(exchange, HttpStatus.OK, "application/json", JSON.std.asString(endpoints()));
				case "POST /drain" -> {
					this.drain.run();
					write(exchange, ACCEPTED, "application/json", JSON.std.asString(Map.of("state", "DRAINING")));
				}
				default -> write(exchange, HttpStatus.NOT_FOUND, "text/plain",
						"no page for " + call + "; pages: GET /metrics, GET /health, GET /endpoints, POST /drain\n");
			}
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "node: An administration request failed.");
		}
	}

	private void health(HttpExchange exchange) throws IOException {
		boolean configured = this.view.configuration().isPresent();
		Map<String, Object> health = new LinkedHashMap<>();
		health.put("state", this.localBackend.state().name());
		health.put("backendHealthy", this.localBackend.isHealthy());
		health.put("configurationVersion", this.view.configuration().map(MeshConfiguration::version).orElse(0L));
		boolean serving = configured && this.localBackend.state().acceptsWork();
		write(exchange, serving ? HttpStatus.OK : HttpStatus.UNAVAILABLE, "application/json",
				JSON.std.asString(health));
	}

	private Map<String, List<Map<String, Object>>> endpoints() {
		long now = this.clock.millis();
		Map<String, List<Map<String, Object>>> services = new TreeMap<>();
		this.directory.all().forEach((service, loads) -> {
			List<Map<String, Object>> endpoints = new ArrayList<>();
			for (EndpointLoad load : loads) {
				Map<String, Object> endpoint = new LinkedHashMap<>();
				endpoint.put("node", load.endpoint().nodeId());
				endpoint.put("state", load.endpoint().state().name());
				endpoint.put("version", load.endpoint().version());
				endpoint.put("failureDomain", load.endpoint().failureDomain());
				endpoint.put("frameAddress", load.endpoint().frameAddress());
				endpoint.put("slots", load.endpoint().slots());
				endpoint.put("inFlight", load.inFlight());
				endpoint.put("latencyMillis", load.latencyMillis(now));
				endpoint.put("errorShare", load.errorShare(now));
				endpoint.put("pace", load.paceShare(now));
				endpoint.put("avoided", load.isAvoided(now, Integer.MAX_VALUE));
				endpoints.add(endpoint);
			}
			services.put(service, endpoints);
		});
		return services;
	}

	private static void write(HttpExchange exchange, int status, String type, String text) throws IOException {
		byte[] body = text.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", type);
		exchange.sendResponseHeaders(status, (body.length > 0) ? body.length : -1);
		exchange.getResponseBody().write(body);
	}

}
