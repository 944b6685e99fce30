package io.lavenderroad.node;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.node.http.HeaderFields;
import io.lavenderroad.node.http.IncomingRequest;
import io.lavenderroad.node.http.OutgoingResponse;
import io.lavenderroad.node.http.RequestHandler;
import io.lavenderroad.policy.calls.RetryAdvice;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Handles the HTTP requests of callers: protects the memory of the node, passes requests
 * to their evaluation and converts the outcomes to responses.
 */
final class CallerApi implements RequestHandler {

	/**
	 * Maximum number of calls in flight; further ones are refused immediately. Without a
	 * bound, a surge of three times the capacity filled a heap of 24 MB.
	 */
	private static final int MAXIMUM_IN_FLIGHT = 512;

	/**
	 * Maximum total size of the request bodies in flight.
	 */
	private static final long MAXIMUM_BODY_BYTES = 8L * 1024 * 1024;

	private final RandomGenerator random;

	private final ConfigurationAwaiter configuration;

	private final CallDialect dialect;

	private final RequestEvaluation evaluation;

	private final RequestLog requestLog;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicLong bodyBytes = new AtomicLong();

	private volatile boolean stopping;

	CallerApi(NodeComponents components, ConfigurationAwaiter configuration, CallDialect dialect,
			RequestEvaluation evaluation) {
		this.random = components.random();
		this.configuration = configuration;
		this.dialect = dialect;
		this.evaluation = evaluation;
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
		this.evaluation.stopAt(schedule);
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
			return this.evaluation.answer(request, terms, configuration);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "node: Request {} failed unexpectedly.", terms.requestId());
			return RoutedAnswer.notAttempted(CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY, "internal error: " + ex));
		}
	}

	private OutgoingResponse respond(IncomingRequest request, String requestId, RoutedAnswer routed, long version) {
		CallAnswer answer = routed.answer();
		boolean unavailable = answer.verdict() == ExecutionVerdict.NOT_RUN && (answer.status() == HttpStatus.UNAVAILABLE
				|| answer.status() == HttpStatus.TOO_MANY_REQUESTS || answer.status() == HttpStatus.GATEWAY_TIMEOUT);
		if (answer.verdict() != ExecutionVerdict.RAN) {
			this.requestLog.write(
					"node: Request {} {} {}, {}, ended as {} with status {} after {} attempts, configuration {}: {}.",
					requestId, request.method(), request.path(),
					routed.team().isEmpty() ? "no team" : "team " + routed.team(), answer.verdict().label(),
					answer.status(), routed.attempts(), version, answer.reason());
		}
		long advisedMillis = (version == 0) ? RetryAdvice.afterStartMillis(this.random)
				: RetryAdvice.afterMillis(routed.targetMillis(), this.random);
		long retryAfterMillis = (routed.retryAfterMillis() > 0) ? routed.retryAfterMillis() : advisedMillis;
		return this.dialect.response(new FinalAnswer(requestId, answer.verdict(), answer.status(), answer.reason(),
				HeaderFields.of(answer.headers()), answer.body(), routed.version(), version,
				unavailable ? retryAfterMillis : 0));
	}

	private static RoutedAnswer refusal(int status, String reason) {
		return RoutedAnswer.notAttempted(CallAnswer.notRun(status, reason));
	}

}
