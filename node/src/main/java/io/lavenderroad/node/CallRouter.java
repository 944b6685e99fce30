package io.lavenderroad.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import io.lavenderroad.node.CalledServices.CallPriority;
import io.lavenderroad.policy.calls.Backoff;
import io.lavenderroad.policy.calls.BalancingContext;
import io.lavenderroad.policy.calls.BalancingPolicy;
import io.lavenderroad.policy.calls.EndpointLoad;
import io.lavenderroad.policy.calls.RetryBudget;
import io.lavenderroad.policy.calls.RetryDecision;
import io.lavenderroad.policy.calls.VersionChoice;
import io.vavr.control.Either;

/**
 * Client side of a call: chooses the version by the traffic split and the endpoint by the
 * balancing policy, sends the call and decides on retries.
 */
final class CallRouter {

	/**
	 * How long an unreachable endpoint is avoided. A lost node leaves the view within 3
	 * s.
	 */
	private static final Backoff UNREACHABLE_BACKOFF = new Backoff(500, 5_000);

	/**
	 * Share of the target latency within which an endpoint in the failure domain of the
	 * caller must be expected to answer to be preferred to remote ones. The rest covers
	 * the spread of service times.
	 */
	private static final double LOCAL_SHARE_OF_TARGET = 0.5;

	private final Clock clock;

	private final RandomGenerator random;

	private final Endpoint self;

	private final EndpointDirectory directory;

	private final PeerConnections connections;

	private final CallServer local;

	private final BalancingPolicy balancing;

	private final EvidenceRecorder evidence;

	private final WithdrawnVersions withdrawn;

	private final int retryBurst;

	private final CalledServices calledServices;

	private final RequestLog requestLog;

	private final AtomicLong callIds = new AtomicLong();

	private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();

	CallRouter(NodeComponents components, BalancingPolicy balancing, CallServer local, int retryBurst) {
		this.clock = components.clock();
		this.random = components.random();
		this.self = components.self();
		this.directory = components.directory();
		this.connections = components.connections();
		this.evidence = components.evidence();
		this.withdrawn = components.withdrawn();
		this.calledServices = components.calledServices();
		this.requestLog = components.requestLog();
		this.balancing = balancing;
		this.local = local;
		this.retryBurst = retryBurst;
	}

	/**
	 * Sends a call, with retries, until it has a final verdict.
	 * @param call the call
	 * @return the outcome
	 */
	RoutedAnswer route(RoutedCall call) {
		RetryBudget budget = this.retryBudgets.computeIfAbsent(call.service().name(),
				(name) -> new RetryBudget(this.retryBurst));
		budget.call(call.service().limits().retryBudgetBasisPoints());
		CallPriority callPriority = this.calledServices.recordCall(call.service().name(), call.rules().route(),
				call.rank(), call.deadlineMillis());
		RetryDecision retry = new RetryDecision(call.rules(), call.attemptBudget() + 1, budget);
		List<EndpointLoad> tried = new ArrayList<>(2);
		ExecutionVerdict earlier = ExecutionVerdict.NOT_RUN;
		RoutedAnswer last = null;
		RoutedAnswer answered = null;
		do {
			Optional<EndpointLoad> chosen = chooseNext(call, callPriority, tried);
			if (chosen.isEmpty()) {
				last = (last != null) ? last
						: new RoutedAnswer(notSent(call), "", 0, call.rules().targetLatencyMillis());
				break;
			}
			tried.add(chosen.get());
			CallAnswer answer = attempt(call, callPriority, chosen.get(),
					(tried.size() == 1) ? call.attemptBudget() : 0);
			last = new RoutedAnswer(answer, chosen.get().endpoint().version(), tried.size(),
					call.rules().targetLatencyMillis());
			if (isFinal(call, answer)) {
				return last;
			}
			answered = (answer.verdict() == ExecutionVerdict.RAN) ? last : answered;
			earlier = earlier.combine(answer.verdict());
		}
		while (isRetryable(last.answer()) && retry.mayRetry(last.answer().verdict(), last.answer().received()));
		return (answered != null) ? answered : withEarlierVerdict(last, earlier);
	}

	private Optional<EndpointLoad> chooseNext(RoutedCall call, CallPriority callPriority, List<EndpointLoad> tried) {
		boolean worthwhile = this.clock.millis() < call.deadlineMillis() && !call.cancellation().isCancelled();
		return worthwhile ? choose(call, callPriority, tried) : Optional.empty();
	}

	private CallAnswer notSent(RoutedCall call) {
		if (call.cancellation().isCancelled()) {
			return CallAnswer.notRun(HttpStatus.UNAVAILABLE, "caller has gone");
		}
		return (this.clock.millis() >= call.deadlineMillis()) ? deadlinePassed() : noEndpoint(call.service());
	}

	// An answer of a backend server is final, except status 500 on an idempotent route,
	// where the request may run again.
	private static boolean isFinal(RoutedCall call, CallAnswer answer) {
		return answer.verdict() == ExecutionVerdict.RAN
				&& !(call.rules().idempotent() && answer.status() == HttpStatus.INTERNAL_ERROR);
	}

	private CallAnswer attempt(RoutedCall call, CallPriority callPriority, EndpointLoad target, int attemptBudget) {
		Endpoint endpoint = target.endpoint();
		long remaining = call.deadlineMillis() - this.clock.millis();
		if (remaining <= 0) {
			return deadlinePassed();
		}
		long startNanos = System.nanoTime();
		target.started();
		CallAnswer answer = send(call, callPriority, endpoint, attemptBudget, remaining);
		double elapsedMillis = (System.nanoTime() - startNanos) / 1e6;
		observe(call, callPriority, target, answer, elapsedMillis);
		if (answer.isObservation()) {
			this.evidence.record(new ObservationKey(call.service().name(), call.rules().route(), endpoint.version()),
					answer, elapsedMillis);
		}
		if (answer.verdict() != ExecutionVerdict.RAN) {
			this.requestLog.write("node: Request {} on route {}: no answer from node {} after {} of {} ms: {} {}, {}.",
					call.requestId(), call.rules().route(), endpoint.nodeId(), Math.round(elapsedMillis), remaining,
					answer.verdict().label(), answer.status(), answer.reason());
		}
		return answer;
	}

	private CallAnswer send(RoutedCall call, CallPriority callPriority, Endpoint endpoint, int attemptBudget,
			long remaining) {
		long latencyObjectiveMillis = Math.clamp(call.objectiveMillis() - this.clock.millis(), 0, Integer.MAX_VALUE);
		CallMetadata metadata = new CallMetadata(call.requestId(), this.self.service(), call.rules().idempotent(),
				callPriority.origin(), callPriority.priority(), (int) latencyObjectiveMillis, call.teamName());
		CallRequest request = new CallRequest(this.callIds.incrementAndGet(), call.service().name(), endpoint.version(),
				call.rules().route(), call.method(), call.target(), call.headers(), call.body(), call.customer(),
				call.key(), (int) Math.min(remaining, Integer.MAX_VALUE), attemptBudget, metadata);
		if (endpoint.nodeId().equals(this.self.nodeId())) {
			return this.local.serve(request, call.deadlineMillis(), call.cancellation());
		}
		Either<CallFailure, CallAnswer> answer = this.connections.call(endpoint.frameAddress(), request, remaining,
				CallAnswer.class, new CancelCall(request.callId()), call.cancellation());
		return answer.getOrElseGet((failure) -> failed(call, failure));
	}

	private CallAnswer failed(RoutedCall call, CallFailure failure) {
		boolean late = this.clock.millis() >= call.deadlineMillis();
		if (failure.verdict() == ExecutionVerdict.NOT_RUN) {
			return CallAnswer.notRun(late ? HttpStatus.GATEWAY_TIMEOUT : HttpStatus.UNAVAILABLE, failure.reason())
				.withReport(ServerReport.UNKNOWN);
		}
		return CallAnswer.mayHaveRun(late ? HttpStatus.GATEWAY_TIMEOUT : HttpStatus.BAD_GATEWAY, failure.reason())
			.withReport(ServerReport.UNKNOWN);
	}

	private void observe(RoutedCall call, CallPriority callPriority, EndpointLoad target, CallAnswer answer,
			double elapsedMillis) {
		long now = this.clock.millis();
		ServerReport report = answer.report();
		if (report.isKnown()) {
			target.recordReport(now, report.load(), report.serviceMillis(), report.pace(), report.slownessPercent());
		}
		this.calledServices.recordReport(call.service().name(), call.rules().route(), callPriority.priority(), report);
		if (answer.verdict() != ExecutionVerdict.NOT_RUN && answer.isObservation()) {
			target.finished(now, elapsedMillis, answer.isError());
		}
		else if (answer.verdict() == ExecutionVerdict.NOT_RUN && !report.isKnown()) {
			target.unreachable(now, UNREACHABLE_BACKOFF, this.random);
		}
		else {
			avoid(target, answer.avoidance(), balancingPriority(callPriority), now);
		}
	}

	private static void avoid(EndpointLoad target, Avoidance avoidance, int priority, long now) {
		switch (avoidance.scope()) {
			case ALL_CALLS -> target.refused(now + avoidance.millis());
			case RANK -> target.recordFull(now + avoidance.millis(), priority);
			default -> target.abandoned();
		}
	}

	private Optional<EndpointLoad> choose(RoutedCall call, CallPriority callPriority, Collection<EndpointLoad> tried) {
		ServiceConfiguration service = call.service();
		BalancingContext context = new BalancingContext(this.self.failureDomain(), this.clock.millis(), tried,
				this.random, balancingPriority(callPriority),
				call.rules().targetLatencyMillis() * LOCAL_SHARE_OF_TARGET);
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

	private static int balancingPriority(CallPriority callPriority) {
		return callPriority.nested() ? BalancingContext.NESTED_PRIORITY : callPriority.priority();
	}

	private static boolean isRetryable(CallAnswer answer) {
		return answer.avoidance().scope() != Avoidance.Scope.SERVICE && answer.status() != HttpStatus.TOO_MANY_REQUESTS
				&& answer.status() != HttpStatus.BAD_REQUEST && answer.status() != HttpStatus.CONFLICT;
	}

	// If an earlier attempt may have run, a refusal of the last attempt does not prove
	// that the call did not run.
	private static RoutedAnswer withEarlierVerdict(RoutedAnswer last, ExecutionVerdict earlier) {
		if (earlier == ExecutionVerdict.MAY_HAVE_RUN && last.answer().verdict() == ExecutionVerdict.NOT_RUN) {
			return new RoutedAnswer(
					CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY,
							"an earlier attempt may have run; the last one was refused: " + last.answer().reason()),
					last.version(), last.attempts(), last.targetMillis());
		}
		return last;
	}

	private static CallAnswer deadlinePassed() {
		return CallAnswer.notRun(HttpStatus.GATEWAY_TIMEOUT, "deadline passed before the call was sent");
	}

	private CallAnswer noEndpoint(ServiceConfiguration service) {
		Set<String> evacuated = this.directory.evacuatedDomains(service.name());
		return CallAnswer.notRun(HttpStatus.UNAVAILABLE, "no backend server of " + service.name() + " accepts work now"
				+ (evacuated.isEmpty() ? "" : "; evacuated: " + String.join(", ", evacuated)));
	}

	void prune(Collection<String> services) {
		this.retryBudgets.keySet().retainAll(services);
	}

}
