package io.lavenderroad.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.policy.calls.Backoff;
import io.lavenderroad.policy.calls.BalancingContext;
import io.lavenderroad.policy.calls.BalancingPolicy;
import io.lavenderroad.policy.calls.EndpointLoad;
import io.lavenderroad.policy.calls.RetryBudget;
import io.lavenderroad.policy.calls.VersionChoice;
import io.vavr.control.Either;

/**
 * The caller's side of a call: chooses the version by the split and the endpoint by the
 * balancing policy, sends the call and decides on retries.
 */
final class CallRouter {

	/**
	 * How long an endpoint that cannot be reached is avoided. A lost node leaves the view
	 * within 3 s.
	 */
	private static final Backoff UNREACHABLE = new Backoff(500, 5_000);

	private static final int UNKNOWN_LOAD = -1;

	private final Clock clock;

	private final RandomGenerator random;

	private final Endpoint self;

	private final EndpointDirectory directory;

	private final PeerConnections connections;

	private final CallServer local;

	private final BalancingPolicy balancing;

	private final EvidenceRecorder evidence;

	private final WithdrawnVersions withdrawn;

	private final AtomicLong callIds = new AtomicLong();

	private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();

	CallRouter(NodeParts parts, BalancingPolicy balancing, CallServer local) {
		this.clock = parts.clock();
		this.random = parts.random();
		this.self = parts.self();
		this.directory = parts.directory();
		this.connections = parts.connections();
		this.evidence = parts.evidence();
		this.withdrawn = parts.withdrawn();
		this.balancing = balancing;
		this.local = local;
	}

	/**
	 * Runs a call to its final verdict.
	 * @param call the call
	 * @return the outcome
	 */
	RoutedAnswer route(RoutedCall call) {
		RetryBudget budget = this.retryBudgets.computeIfAbsent(call.service().name(), (name) -> new RetryBudget());
		budget.call(call.service().limits().retryBudgetBasisPoints());
		List<EndpointLoad> tried = new ArrayList<>(2);
		ExecutionVerdict earlier = ExecutionVerdict.NOT_RUN;
		RoutedAnswer last = null;
		for (int attempt = 0; attempt <= call.attemptBudget(); attempt++) {
			if (attempt > 0 && !(isRetryable(call, last.answer()) && budget.tryRetry())) {
				break;
			}
			if (this.clock.millis() >= call.deadlineMillis()) {
				last = (last != null) ? last : new RoutedAnswer(late(), "");
				break;
			}
			Optional<EndpointLoad> chosen = choose(call.service(), tried);
			if (chosen.isEmpty()) {
				last = (last != null) ? last : new RoutedAnswer(noEndpoint(call.service()), "");
				break;
			}
			tried.add(chosen.get());
			last = new RoutedAnswer(attempt(call, chosen.get(), (attempt == 0) ? call.attemptBudget() : 0),
					chosen.get().endpoint().version());
			if (last.answer().verdict() == ExecutionVerdict.RAN) {
				return last;
			}
			earlier = earlier.combine(last.answer().verdict());
		}
		return withEarlier(last, earlier);
	}

	private CallAnswer attempt(RoutedCall call, EndpointLoad target, int attemptBudget) {
		Endpoint endpoint = target.endpoint();
		long remaining = call.deadlineMillis() - this.clock.millis();
		if (remaining <= 0) {
			return late();
		}
		long startNanos = System.nanoTime();
		target.started();
		CallAnswer answer = send(call, endpoint, attemptBudget, remaining);
		double tookMillis = (System.nanoTime() - startNanos) / 1e6;
		observe(target, answer, tookMillis);
		if (answer.isObservation()) {
			this.evidence.record(new ObservationKey(call.service().name(), call.route().name(), endpoint.version()),
					answer, tookMillis);
		}
		return answer;
	}

	private CallAnswer send(RoutedCall call, Endpoint endpoint, int attemptBudget, long remaining) {
		CallRequest request = new CallRequest(this.callIds.incrementAndGet(), call.service().name(), endpoint.version(),
				call.route().name(), call.method(), call.target(), call.headers(), call.body(), call.customer(),
				call.key(), (int) Math.min(remaining, Integer.MAX_VALUE), attemptBudget);
		if (endpoint.nodeId().equals(this.self.nodeId())) {
			return this.local.serve(request, call.deadlineMillis(), new CallCancellation());
		}
		Either<CallFailure, CallAnswer> answer = this.connections.call(endpoint.frameAddress(), request, remaining,
				CallAnswer.class, new CancelCall(request.callId()));
		return answer.getOrElseGet((failure) -> failed(call, failure));
	}

	private CallAnswer failed(RoutedCall call, CallFailure failure) {
		boolean late = this.clock.millis() >= call.deadlineMillis();
		if (failure.verdict() == ExecutionVerdict.NOT_RUN) {
			return CallAnswer.notRun(late ? HttpStatus.GATEWAY_TIMEOUT : HttpStatus.UNAVAILABLE, failure.reason())
				.withLoad(UNKNOWN_LOAD);
		}
		return CallAnswer.mayHaveRun(late ? HttpStatus.GATEWAY_TIMEOUT : HttpStatus.BAD_GATEWAY, failure.reason())
			.withLoad(UNKNOWN_LOAD);
	}

	private void observe(EndpointLoad target, CallAnswer answer, double tookMillis) {
		long now = this.clock.millis();
		boolean answered = answer.load() != UNKNOWN_LOAD;
		if (answered) {
			target.hint(now, answer.load());
		}
		if (answer.verdict() != ExecutionVerdict.NOT_RUN && answer.isObservation()) {
			target.finished(now, tookMillis, answer.isError());
		}
		else if (answer.verdict() == ExecutionVerdict.NOT_RUN && !answered) {
			target.unreachable(now, UNREACHABLE, this.random);
		}
		else if (answer.avoidMillis() > 0) {
			target.refused(now + answer.avoidMillis());
		}
		else {
			target.abandoned();
		}
	}

	private Optional<EndpointLoad> choose(ServiceConfiguration service, Collection<EndpointLoad> tried) {
		BalancingContext context = new BalancingContext(this.self.failureDomain(), this.clock.millis(), tried,
				this.random);
		List<String> versions = VersionChoice.order(this.withdrawn.split(service),
				service.move().map(MoveParameters::from), this.random);
		for (String version : versions) {
			Optional<EndpointLoad> chosen = this.balancing.choose(this.directory.candidates(service.name(), version),
					context);
			if (chosen.isPresent()) {
				return chosen;
			}
		}
		return Optional.empty();
	}

	private static boolean isRetryable(RoutedCall call, CallAnswer answer) {
		if (answer.status() == HttpStatus.OVER_SHARE || answer.status() == HttpStatus.BAD_REQUEST
				|| answer.status() == HttpStatus.CONFLICT) {
			return false;
		}
		return answer.verdict() == ExecutionVerdict.NOT_RUN || call.route().idempotent();
	}

	// Keeps the uncertainty of an earlier attempt: a refusal of the last attempt does not
	// prove that the call did not run.
	private static RoutedAnswer withEarlier(RoutedAnswer last, ExecutionVerdict earlier) {
		if (earlier == ExecutionVerdict.MAY_HAVE_RUN && last.answer().verdict() == ExecutionVerdict.NOT_RUN) {
			return new RoutedAnswer(
					CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY,
							"an earlier attempt may have run; the last one was refused: " + last.answer().reason()),
					last.version());
		}
		return last;
	}

	private static CallAnswer late() {
		return CallAnswer.notRun(HttpStatus.GATEWAY_TIMEOUT, "deadline passed before the call was sent");
	}

	private static CallAnswer noEndpoint(ServiceConfiguration service) {
		return CallAnswer.notRun(HttpStatus.UNAVAILABLE,
				"no backend server of " + service.name() + " accepts work now");
	}

	void prune(Collection<String> services) {
		this.retryBudgets.keySet().retainAll(services);
	}

}
