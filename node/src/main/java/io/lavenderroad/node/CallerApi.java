package io.lavenderroad.node;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.CallRules;
import io.lavenderroad.model.HostRoute;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.node.http.HeaderFields;
import io.lavenderroad.node.http.IncomingRequest;
import io.lavenderroad.node.http.OutgoingResponse;
import io.lavenderroad.node.http.RequestHandler;
import io.lavenderroad.policy.calls.RetryAdvice;
import io.lavenderroad.policy.calls.ServiceChoice;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Handles the HTTP requests of callers: finds the route, validates the request, passes it
 * to the router and converts the outcome to a response.
 */
final class CallerApi implements RequestHandler {

	/**
	 * Retry budget of a chain of calls whose first caller states none.
	 */
	static final int DEFAULT_ATTEMPT_BUDGET = 2;

	/**
	 * Maximum number of calls in flight; further ones are refused immediately. Without a
	 * bound, a surge of three times the capacity filled a heap of 24 MB.
	 */
	private static final int MAXIMUM_IN_FLIGHT = 512;

	/**
	 * Maximum total size of the request bodies in flight.
	 */
	private static final long MAXIMUM_BODY_BYTES = 8L * 1024 * 1024;

	private final Clock clock;

	private final RandomGenerator random;

	private final ConfigurationAwaiter configuration;

	private final String localService;

	private final CallDialect dialect;

	private final CallRouter router;

	private final NodeMetrics metrics;

	private final RequestLog requestLog;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicLong bodyBytes = new AtomicLong();

	private volatile StopSchedule stopSchedule = StopSchedule.NEVER;

	private volatile boolean stopping;

	CallerApi(NodeComponents components, MeshView view, CallDialect dialect, CallRouter router, NodeMetrics metrics) {
		this.clock = components.clock();
		this.random = components.random();
		this.localService = components.self().service();
		this.configuration = new ConfigurationAwaiter(components.clock(), view);
		this.dialect = dialect;
		this.router = router;
		this.metrics = metrics;
		this.requestLog = components.requestLog();
	}

	@Override
	public OutgoingResponse handle(IncomingRequest request) {
		this.inFlight.incrementAndGet();
		try {
			return answer(request);
		}
		finally {
			this.inFlight.decrementAndGet();
		}
	}

	/**
	 * Refuses new calls from now on that could outlast the process.
	 * @param schedule end of the process
	 */
	void stopAt(StopSchedule schedule) {
		this.stopSchedule = schedule;
	}

	/**
	 * Refuses new calls from now on.
	 */
	void stop() {
		this.stopping = true;
	}

	private OutgoingResponse answer(IncomingRequest request) {
		int bytes = request.body().length;
		boolean withinBodyLimit = this.bodyBytes.addAndGet(bytes) <= MAXIMUM_BODY_BYTES;
		try {
			return answer(request, withinBodyLimit);
		}
		finally {
			this.bodyBytes.addAndGet(-bytes);
		}
	}

	private OutgoingResponse answer(IncomingRequest request, boolean withinBodyLimit) {
		Either<String, CallTerms> terms = this.dialect.terms(request.headers());
		Optional<RoutedAnswer> refused = terms.isLeft() ? Optional.of(refusal(HttpStatus.BAD_REQUEST, terms.getLeft()))
				: refuseOverload(withinBodyLimit);
		Optional<MeshConfiguration> active = refused.isPresent() ? this.configuration.current()
				: this.configuration.await(terms.get().deadlineMillis().orElse(Integer.MAX_VALUE));
		RoutedAnswer answer = refused.or(() -> active.map((current) -> answerOrFail(request, terms.get(), current)))
			.orElseGet(() -> refusal(HttpStatus.UNAVAILABLE, "no confirmed configuration yet"));
		long version = active.map(MeshConfiguration::version).orElse(0L);
		return respond(request, terms.map(CallTerms::requestId).getOrElse(""), answer, version);
	}

	private Optional<RoutedAnswer> refuseOverload(boolean withinBodyLimit) {
		if (this.stopping) {
			return Optional.of(refusal(HttpStatus.UNAVAILABLE, "node is stopping"));
		}
		if (this.inFlight.get() > MAXIMUM_IN_FLIGHT) {
			return Optional.of(refusal(HttpStatus.UNAVAILABLE, "node has " + MAXIMUM_IN_FLIGHT + " calls in flight"));
		}
		if (!withinBodyLimit) {
			return Optional.of(refusal(HttpStatus.UNAVAILABLE, "request bodies in flight fill the memory of the node"));
		}
		return Optional.empty();
	}

	private RoutedAnswer answerOrFail(IncomingRequest request, CallTerms terms, MeshConfiguration configuration) {
		try {
			return answer(request, terms, configuration);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "node: Request {} failed unexpectedly.", terms.requestId());
			return RoutedAnswer.notAttempted(CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY, "internal error: " + ex));
		}
	}

	private RoutedAnswer answer(IncomingRequest request, CallTerms terms, MeshConfiguration configuration) {
		long startNanos = System.nanoTime();
		Either<RoutedAnswer, RoutedCall> call = findOrAwaitNewer(request, terms, configuration)
			.flatMap((target) -> validate(request, terms, target));
		if (call.isLeft()) {
			return call.getLeft();
		}
		RoutedAnswer answer = this.router.route(call.get());
		this.metrics.record(call.get().service().name(), call.get().customer(), answer.answer().verdict(),
				System.nanoTime() - startNanos);
		return answer;
	}

	/**
	 * Finds service and rules of a request. If there is no route and the configuration
	 * may be outdated, the request waits for a newer one. If none arrives, the request is
	 * refused as "not run" with a hint to retry, because the route may exist in a newer
	 * configuration.
	 * @param request the request
	 * @param terms call parameters that the caller states
	 * @param configuration active configuration when the request arrived
	 * @return the target, or a refusal
	 */
	private Either<RoutedAnswer, Target> findOrAwaitNewer(IncomingRequest request, CallTerms terms,
			MeshConfiguration configuration) {
		Either<RoutedAnswer, Target> target = find(request, terms, configuration);
		if (target.isRight() || this.configuration.isCertain(configuration)) {
			return target;
		}
		MeshConfiguration newer = this.configuration.awaitNewer(configuration,
				terms.deadlineMillis().orElse(Integer.MAX_VALUE));
		Either<RoutedAnswer, Target> retried = find(request, terms, newer);
		if (retried.isRight() || this.configuration.isCertain(newer)) {
			return retried;
		}
		return Either
			.left(refusal(HttpStatus.UNAVAILABLE, "configuration may be old, " + retried.getLeft().answer().reason()));
	}

	/**
	 * Finds service and rules of a request. Routes by host take precedence; a host
	 * without such routes, or a service that the request names, selects the routes of one
	 * service.
	 * @param request the request
	 * @param terms call parameters that the caller states
	 * @param configuration active configuration
	 * @return the target, or a refusal
	 */
	private Either<RoutedAnswer, Target> find(IncomingRequest request, CallTerms terms,
			MeshConfiguration configuration) {
		String host = request.headers().text("Host");
		if (terms.service().isEmpty() && configuration.routes().table().containsHost(host)) {
			return configuration.routes()
				.table()
				.find(host, request.path())
				.flatMap((route) -> byHost(route, configuration))
				.<Either<RoutedAnswer, Target>>map(Either::right)
				.orElseGet(() -> Either.left(notFound("no route for " + host + request.path())));
		}
		return byService(request, terms.service().isEmpty() ? firstLabel(host) : terms.service(), configuration);
	}

	private Optional<Target> byHost(HostRoute route, MeshConfiguration configuration) {
		return ServiceChoice.draw(route.weights(), this.random)
			.flatMap(configuration::service)
			.map((service) -> new Target(service, route.rules()));
	}

	private Either<RoutedAnswer, Target> byService(IncomingRequest request, String name,
			MeshConfiguration configuration) {
		Optional<ServiceConfiguration> service = configuration.service(name);
		if (service.isEmpty()) {
			return Either.left(notFound("no service '" + name + "'"));
		}
		if (!mayCall(request, configuration, service.get())) {
			return Either.left(notFound("service '" + name + "' is not open to outside callers"));
		}
		return service.get()
			.route(request.method(), request.path())
			.map(Route::rules)
			.<Either<RoutedAnswer, Target>>map((rules) -> Either.right(new Target(service.get(), rules)))
			.orElseGet(() -> Either
				.left(notFound("no route of " + name + " for " + request.method() + " " + request.path())));
	}

	private Either<RoutedAnswer, RoutedCall> validate(IncomingRequest request, CallTerms terms, Target target) {
		CallRules rules = target.rules();
		if (request.body().length > rules.maximumBodyBytes()) {
			return Either.left(
					refusal(HttpStatus.BODY_TOO_LARGE, "request body is over " + rules.maximumBodyBytes() + " bytes"));
		}
		long now = this.clock.millis();
		long deadline = now + Math.min(terms.deadlineMillis().orElse(rules.timeoutMillis()), rules.timeoutMillis());
		if (!this.stopSchedule.accepts(now, deadline)) {
			return Either.left(refusal(HttpStatus.UNAVAILABLE, "node stops before the deadline of the request"));
		}
		int budget = Math.min(terms.attemptBudget().orElse(DEFAULT_ATTEMPT_BUDGET), rules.maximumAttempts() - 1);
		return Either.right(new RoutedCall(terms.requestId(), target.service(), rules, request.method(),
				request.target(), request.headers().endToEnd(this.dialect::forwards).pairs(), request.body(),
				terms.customer(), rules.idempotent() ? "" : terms.key(), now + rules.latencyObjectiveMillis(), deadline,
				budget, request.departure()));
	}

	// Services that are not open to callers may only be called by the local backend
	// server, and only if its service is configured to call them.
	private boolean mayCall(IncomingRequest request, MeshConfiguration configuration, ServiceConfiguration service) {
		if (service.openToCallers()) {
			return true;
		}
		boolean sameVm = request.remoteAddress().isLoopbackAddress()
				|| request.remoteAddress().equals(request.localAddress());
		return sameVm && configuration.service(this.localService)
			.map((local) -> local.calls().contains(service.name()))
			.orElse(false);
	}

	private OutgoingResponse respond(IncomingRequest request, String requestId, RoutedAnswer routed, long version) {
		CallAnswer answer = routed.answer();
		boolean unavailable = answer.verdict() == ExecutionVerdict.NOT_RUN && (answer.status() == HttpStatus.UNAVAILABLE
				|| answer.status() == HttpStatus.TOO_MANY_REQUESTS || answer.status() == HttpStatus.GATEWAY_TIMEOUT);
		if (answer.verdict() != ExecutionVerdict.RAN) {
			this.requestLog.write(
					"node: Request {} {} {} ended as {} with status {} after {} attempts, configuration {}: {}.",
					requestId, request.method(), request.path(), answer.verdict().label(), answer.status(),
					routed.attempts(), version, answer.reason());
		}
		long retryAfterMillis = (version == 0) ? RetryAdvice.afterStartMillis(this.random)
				: RetryAdvice.afterMillis(routed.targetMillis(), this.random);
		return this.dialect.response(new FinalAnswer(requestId, answer.verdict(), answer.status(), answer.reason(),
				HeaderFields.of(answer.headers()), answer.body(), routed.version(), version,
				unavailable ? retryAfterMillis : 0));
	}

	private static String firstLabel(String host) {
		int end = host.indexOf('.');
		if (end < 0) {
			end = host.indexOf(':');
		}
		return (end < 0) ? host : host.substring(0, end);
	}

	private RoutedAnswer notFound(String reason) {
		return refusal(HttpStatus.NOT_FOUND, reason + ", " + this.configuration.freshness());
	}

	private static RoutedAnswer refusal(int status, String reason) {
		return RoutedAnswer.notAttempted(CallAnswer.notRun(status, reason));
	}

	/**
	 * Service and rules that apply to a request.
	 *
	 * @param service the service
	 * @param rules rules of the route
	 */
	private record Target(ServiceConfiguration service, CallRules rules) {

	}

}
