package io.lavenderroad.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.ServiceConfiguration;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Accepts the calls of callers over HTTP: checks them, has them routed and writes the
 * answer with the verdict headers.
 */
final class CallerApi implements HttpHandler {

	/**
	 * Retries that a chain of calls may spend when its first caller states no budget.
	 */
	static final int DEFAULT_ATTEMPT_BUDGET = 2;

	/**
	 * Calls over this are refused at once. Without a bound, a surge of three times
	 * capacity filled a heap of 24 MB.
	 */
	private static final int MOST_IN_FLIGHT = 256;

	/**
	 * Sum of the request bodies in flight.
	 */
	private static final long MOST_BODY_BYTES = 4L * 1024 * 1024;

	private static final int LARGEST_KEY_LENGTH = 200;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private static final String RETRY_AFTER_SECONDS = "1";

	private final Clock clock;

	private final MeshView view;

	private final String ownService;

	private final CallRouter router;

	private final NodeMetrics metrics;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicLong bodyBytes = new AtomicLong();

	private volatile boolean stopping;

	CallerApi(Clock clock, MeshView view, String ownService, CallRouter router, NodeMetrics metrics) {
		this.metrics = metrics;
		this.clock = clock;
		this.view = view;
		this.ownService = ownService;
		this.router = router;
	}

	@Override
	public void handle(HttpExchange exchange) throws IOException {
		this.inFlight.incrementAndGet();
		try {
			answer(exchange);
		}
		finally {
			this.inFlight.decrementAndGet();
		}
	}

	/**
	 * Refuses new calls from now on.
	 */
	void stop() {
		this.stopping = true;
	}

	/**
	 * Returns the calls whose answers are not written yet.
	 * @return count
	 */
	int inFlight() {
		return this.inFlight.get();
	}

	private void answer(HttpExchange exchange) throws IOException {
		long configurationVersion = 0;
		RoutedAnswer answer;
		try {
			Optional<MeshConfiguration> configuration = this.view.configuration();
			configurationVersion = configuration.map(MeshConfiguration::version).orElse(0L);
			answer = configuration.isPresent() ? answer(exchange, configuration.get())
					: refusal(HttpStatus.UNAVAILABLE, "no confirmed configuration yet");
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "node: A call failed unexpectedly.");
			answer = new RoutedAnswer(CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY, "internal error: " + ex), "");
		}
		try (exchange) {
			write(exchange, answer, configurationVersion);
		}
	}

	private RoutedAnswer answer(HttpExchange exchange, MeshConfiguration configuration) throws IOException {
		if (this.stopping) {
			return refusal(HttpStatus.UNAVAILABLE, "node is stopping");
		}
		if (this.inFlight.get() > MOST_IN_FLIGHT) {
			return refusal(HttpStatus.UNAVAILABLE, "node has " + MOST_IN_FLIGHT + " calls in flight");
		}
		long startNanos = System.nanoTime();
		Either<RoutedAnswer, RoutedCall> call = read(exchange, configuration);
		if (call.isLeft()) {
			return call.getLeft();
		}
		RoutedAnswer answer;
		int bytes = call.get().body().length;
		if (this.bodyBytes.addAndGet(bytes) > MOST_BODY_BYTES) {
			answer = refusal(HttpStatus.UNAVAILABLE, "request bodies in flight fill the memory of the node");
		}
		else {
			answer = this.router.route(call.get());
		}
		this.bodyBytes.addAndGet(-bytes);
		this.metrics.record(call.get().service().name(), call.get().customer(), answer.answer().verdict(),
				System.nanoTime() - startNanos);
		return answer;
	}

	private Either<RoutedAnswer, RoutedCall> read(HttpExchange exchange, MeshConfiguration configuration)
			throws IOException {
		long arrivalMillis = this.clock.millis();
		Headers headers = exchange.getRequestHeaders();
		String name = serviceName(headers);
		Optional<ServiceConfiguration> service = configuration.service(name);
		if (service.isEmpty()) {
			return Either.left(refusal(HttpStatus.NOT_FOUND, "no service '" + name + "'"));
		}
		if (!mayCall(exchange, configuration, service.get())) {
			return Either.left(refusal(HttpStatus.NOT_FOUND, "service '" + name + "' is not open to outside callers"));
		}
		String method = exchange.getRequestMethod();
		Optional<Route> route = service.get().route(method, exchange.getRequestURI().getRawPath());
		if (route.isEmpty()) {
			return Either.left(refusal(HttpStatus.NOT_FOUND,
					"no route of " + name + " for " + method + " " + exchange.getRequestURI().getRawPath()));
		}
		Either<RoutedAnswer, Integer> timeout = number(headers, MeshHeaders.DEADLINE_MILLIS,
				route.get().timeoutMillis());
		Either<RoutedAnswer, Integer> budget = number(headers, MeshHeaders.ATTEMPT_BUDGET, DEFAULT_ATTEMPT_BUDGET);
		if (timeout.isLeft() || budget.isLeft()) {
			return Either.left(timeout.isLeft() ? timeout.getLeft() : budget.getLeft());
		}
		String key = first(headers, MeshHeaders.IDEMPOTENCY_KEY);
		if (key.length() > LARGEST_KEY_LENGTH) {
			return Either.left(refusal(HttpStatus.BAD_REQUEST,
					MeshHeaders.IDEMPOTENCY_KEY + " is longer than " + LARGEST_KEY_LENGTH + " characters"));
		}
		long deadline = arrivalMillis + Math.min(timeout.get(), route.get().timeoutMillis());
		return body(exchange, route.get()).map((body) -> new RoutedCall(service.get(), route.get(), method,
				target(exchange), MeshHeaders.endToEnd(headers), body, first(headers, MeshHeaders.CUSTOMER),
				route.get().idempotent() ? "" : key, deadline, Math.min(budget.get(), DEFAULT_ATTEMPT_BUDGET)));
	}

	// Services that are not open may be called by the backend server beside this node
	// only, if its service is configured to call them.
	private boolean mayCall(HttpExchange exchange, MeshConfiguration configuration, ServiceConfiguration service) {
		if (service.openToCallers()) {
			return true;
		}
		InetAddress caller = exchange.getRemoteAddress().getAddress();
		boolean sameVm = caller.isLoopbackAddress() || caller.equals(exchange.getLocalAddress().getAddress());
		return sameVm && configuration.service(this.ownService)
			.map((own) -> own.calls().contains(service.name()))
			.orElse(false);
	}

	private static Either<RoutedAnswer, byte[]> body(HttpExchange exchange, Route route) throws IOException {
		long stated = contentLength(exchange.getRequestHeaders());
		if (stated > route.largestBodyBytes()) {
			return Either.left(tooLarge(route));
		}
		byte[] body;
		try (InputStream input = exchange.getRequestBody()) {
			body = input.readNBytes(route.largestBodyBytes() + 1);
			if (body.length > route.largestBodyBytes()) {
				return Either.left(tooLarge(route));
			}
		}
		catch (IOException ex) {
			return Either.left(refusal(HttpStatus.BAD_REQUEST, "request body broke off: " + ex.getMessage()));
		}
		if (stated >= 0 && body.length != stated) {
			return Either.left(refusal(HttpStatus.BAD_REQUEST,
					"request body has " + body.length + " bytes in place of " + stated));
		}
		return Either.right(body);
	}

	private void write(HttpExchange exchange, RoutedAnswer routed, long configurationVersion) throws IOException {
		CallAnswer answer = routed.answer();
		Headers headers = exchange.getResponseHeaders();
		for (int index = 0; index + 1 < answer.headers().size(); index += 2) {
			headers.add(answer.headers().get(index), answer.headers().get(index + 1));
		}
		headers.set(MeshHeaders.VERDICT, answer.verdict().label());
		headers.set(MeshHeaders.CONFIGURATION_VERSION, Long.toString(configurationVersion));
		if (!routed.version().isEmpty()) {
			headers.set(MeshHeaders.VERSION, routed.version());
		}
		byte[] body = answer.body();
		if (!answer.reason().isEmpty()) {
			headers.set(MeshHeaders.REASON, MeshHeaders.printable(answer.reason()));
		}
		if (answer.verdict() != ExecutionVerdict.RAN) {
			headers.set("Content-Type", "text/plain; charset=utf-8");
			body = (answer.verdict().label() + ": " + answer.reason() + "\n").getBytes(StandardCharsets.UTF_8);
		}
		if (answer.verdict() == ExecutionVerdict.NOT_RUN
				&& (answer.status() == HttpStatus.UNAVAILABLE || answer.status() == HttpStatus.OVER_SHARE)) {
			headers.set(MeshHeaders.RETRY_AFTER, RETRY_AFTER_SECONDS);
		}
		boolean bodiless = exchange.getRequestMethod().equals("HEAD") || answer.status() == NO_CONTENT
				|| answer.status() == NOT_MODIFIED || body.length == 0;
		exchange.sendResponseHeaders(answer.status(), bodiless ? -1 : body.length);
		if (!bodiless) {
			try (OutputStream output = exchange.getResponseBody()) {
				output.write(body);
			}
		}
	}

	private static String serviceName(Headers headers) {
		String name = first(headers, MeshHeaders.SERVICE);
		if (!name.isEmpty()) {
			return name;
		}
		String host = first(headers, "Host");
		int end = host.indexOf('.');
		if (end < 0) {
			end = host.indexOf(':');
		}
		return (end < 0) ? host : host.substring(0, end);
	}

	private static Either<RoutedAnswer, Integer> number(Headers headers, String name, int whenAbsent) {
		String text = first(headers, name);
		if (text.isEmpty()) {
			return Either.right(whenAbsent);
		}
		try {
			long value = Long.parseLong(text.strip());
			if (value >= 0) {
				return Either.right((int) Math.min(value, Integer.MAX_VALUE));
			}
		}
		catch (NumberFormatException ex) {
			Logger.debug("node: Header {} is not a number: {}.", name, ex.getMessage());
		}
		return Either.left(refusal(HttpStatus.BAD_REQUEST, name + " is '" + text + "', not a number of zero or more"));
	}

	private static long contentLength(Headers headers) {
		String text = first(headers, "Content-Length");
		// The HTTP server has checked that it is a number.
		return text.isEmpty() ? -1 : Long.parseLong(text.strip());
	}

	private static String target(HttpExchange exchange) {
		String path = exchange.getRequestURI().getRawPath();
		String query = exchange.getRequestURI().getRawQuery();
		return (query != null) ? path + "?" + query : path;
	}

	private static String first(Headers headers, String name) {
		List<String> values = headers.get(name);
		return (values != null && !values.isEmpty()) ? values.getFirst() : "";
	}

	private static RoutedAnswer tooLarge(Route route) {
		return refusal(HttpStatus.BODY_TOO_LARGE, "request body is over " + route.largestBodyBytes() + " bytes");
	}

	private static RoutedAnswer refusal(int status, String reason) {
		return new RoutedAnswer(CallAnswer.notRun(status, reason), "");
	}

}
