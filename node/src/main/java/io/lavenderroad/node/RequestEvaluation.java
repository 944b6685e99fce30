package io.lavenderroad.node;

import java.util.Optional;
import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.CallRules;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.Team;
import io.lavenderroad.node.TeamMetrics.Refusal;
import io.lavenderroad.node.http.HeaderFields;
import io.lavenderroad.node.http.IncomingRequest;
import io.vavr.control.Either;

/**
 * Evaluates a request of a caller in a fixed order: configuration, route, access key,
 * body size and deadline, quota, capacity. The first check that fails decides the answer,
 * so a request that is refused for any other reason takes nothing from the quota.
 */
final class RequestEvaluation {

	/**
	 * Retry budget of a chain of calls whose first caller states none.
	 */
	static final int DEFAULT_ATTEMPT_BUDGET = 2;

	private final Clock clock;

	private final RandomGenerator random;

	private final String localService;

	private final ConfigurationAwaiter configuration;

	private final CallDialect dialect;

	private final CallRouter router;

	private final QuotaGate quotaGate;

	private final NodeMetrics metrics;

	private volatile StopSchedule stopSchedule = StopSchedule.NEVER;

	RequestEvaluation(NodeComponents components, ConfigurationAwaiter configuration, CallDialect dialect,
			CallRouter router, QuotaGate quotaGate, NodeMetrics metrics) {
		this.clock = components.clock();
		this.random = components.random();
		this.localService = components.self().service();
		this.configuration = configuration;
		this.dialect = dialect;
		this.router = router;
		this.quotaGate = quotaGate;
		this.metrics = metrics;
	}

	/**
	 * Refuses new calls from now on that could outlast the process.
	 * @param schedule end of the process
	 */
	void stopAt(StopSchedule schedule) {
		this.stopSchedule = schedule;
	}

	/**
	 * Answers a request.
	 * @param request the request
	 * @param terms call parameters that the caller states
	 * @param active active configuration when the request arrived
	 * @return the outcome
	 */
	RoutedAnswer answer(IncomingRequest request, CallTerms terms, MeshConfiguration active) {
		long startNanos = System.nanoTime();
		Either<RoutedAnswer, Permitted> permitted = permitOrAwaitNewer(request, terms, active);
		if (permitted.isLeft()) {
			return permitted.getLeft();
		}
		String team = permitted.get().team().map(Team::name).orElse("");
		RoutedAnswer answer = validate(request, terms, permitted.get())
			.peekLeft((refusal) -> recordAnswer(permitted.get().team(), refusal))
			.flatMap(this::withinQuota)
			.map((call) -> run(call, startNanos))
			.fold((refusal) -> refusal, (answered) -> answered);
		return answer.withTeam(team);
	}

	/**
	 * Checks route and access key. If one of them is refused and the configuration may be
	 * outdated, the request waits for a newer one. If none arrives, the request is
	 * refused as "not run" with a hint to retry, because a newer configuration may permit
	 * it.
	 * @param request the request
	 * @param terms call parameters that the caller states
	 * @param active active configuration when the request arrived
	 * @return target and team, or a refusal
	 */
	private Either<RoutedAnswer, Permitted> permitOrAwaitNewer(IncomingRequest request, CallTerms terms,
			MeshConfiguration active) {
		Either<Denial, Permitted> permitted = permit(request, terms, active);
		MeshConfiguration judged = active;
		if (permitted.isLeft() && !this.configuration.isCertain(active)) {
			judged = this.configuration.awaitNewer(active, terms.deadlineMillis().orElse(Integer.MAX_VALUE));
			permitted = permit(request, terms, judged);
		}
		if (permitted.isRight()) {
			return Either.right(permitted.get());
		}
		Denial denial = permitted.getLeft();
		if (!this.configuration.isCertain(judged)) {
			return Either.left(RoutedAnswer.refused(HttpStatus.UNAVAILABLE,
					"configuration may be old, " + denial.refusal().answer().reason()));
		}
		denial.counted().ifPresent(this.metrics.teams()::recordRefusal);
		return Either.left(denial.refusal());
	}

	private Either<Denial, Permitted> permit(IncomingRequest request, CallTerms terms,
			MeshConfiguration configuration) {
		return new RouteSearch(configuration, this.localService, this.random).find(request, terms.service())
			.mapLeft((reason) -> new Denial(
					RoutedAnswer.refused(HttpStatus.NOT_FOUND, reason + ", " + this.configuration.freshness()),
					Optional.empty()))
			.flatMap((target) -> identify(terms.accessKey(), target, configuration)
				.map((team) -> new Permitted(configuration, target, team)));
	}

	private static Either<Denial, Optional<Team>> identify(String key, RouteSearch.Target target,
			MeshConfiguration configuration) {
		if (configuration.teams().isEmpty()) {
			return Either.right(Optional.empty());
		}
		if (key.isEmpty()) {
			return target.allowsAnonymous() ? Either.right(Optional.empty())
					: unauthorized("no access key", Refusal.MISSING_KEY);
		}
		Optional<Team> team = key.equals(CallTerms.UNUSABLE_KEY) ? Optional.empty()
				: configuration.teams().findByKey(key);
		return team.isPresent() ? Either.right(team) : unauthorized("unknown access key", Refusal.UNKNOWN_KEY);
	}

	private static Either<Denial, Optional<Team>> unauthorized(String reason, Refusal counted) {
		return Either.left(new Denial(RoutedAnswer.refused(HttpStatus.UNAUTHORIZED, reason), Optional.of(counted)));
	}

	private Either<RoutedAnswer, RoutedCall> validate(IncomingRequest request, CallTerms terms, Permitted permitted) {
		CallRules rules = permitted.target().rules();
		if (request.body().length > rules.maximumBodyBytes()) {
			return Either.left(RoutedAnswer.refused(HttpStatus.BODY_TOO_LARGE,
					"request body is over " + rules.maximumBodyBytes() + " bytes"));
		}
		long now = this.clock.millis();
		long deadline = now + Math.min(terms.deadlineMillis().orElse(rules.timeoutMillis()), rules.timeoutMillis());
		if (!this.stopSchedule.accepts(now, deadline)) {
			return Either
				.left(RoutedAnswer.refused(HttpStatus.UNAVAILABLE, "node stops before the deadline of the request"));
		}
		int budget = Math.min(terms.attemptBudget().orElse(DEFAULT_ATTEMPT_BUDGET), rules.maximumAttempts() - 1);
		String customer = permitted.team().map(Team::name).orElse(terms.customer());
		return Either.right(new RoutedCall(terms.requestId(), permitted.target().service(), rules, request.method(),
				request.target(), forwarded(request, permitted.configuration()).pairs(), request.body(), customer,
				permitted.team(), rules.idempotent() ? "" : terms.key(), now + rules.latencyObjectiveMillis(), deadline,
				budget, request.departure()));
	}

	// The active configuration may have become newer since the request was judged.
	private HeaderFields forwarded(IncomingRequest request, MeshConfiguration judged) {
		boolean teams = !judged.teams().isEmpty()
				|| this.configuration.current().filter((active) -> !active.teams().isEmpty()).isPresent();
		return request.headers().endToEnd((name) -> this.dialect.forwardsRequestField(name, teams));
	}

	private Either<RoutedAnswer, RoutedCall> withinQuota(RoutedCall call) {
		Optional<QuotaRefusal> refusal = call.team()
			.flatMap((team) -> this.quotaGate.admit(team, call.deadlineMillis()));
		if (refusal.isEmpty()) {
			return Either.right(call);
		}
		this.metrics.teams().recordOverQuota(call.teamName());
		return Either.left(RoutedAnswer.refused(refusal.get().status(), refusal.get().reason())
			.withRetryAfterMillis(refusal.get().retryAfterMillis()));
	}

	private RoutedAnswer run(RoutedCall call, long startNanos) {
		RoutedAnswer answer = this.router.route(call);
		ExecutionVerdict verdict = answer.answer().verdict();
		this.metrics.record(call.service().name(), call.customer(), verdict, System.nanoTime() - startNanos);
		recordAnswer(call.team(), answer);
		if (verdict == ExecutionVerdict.NOT_RUN) {
			call.team().ifPresent(this.quotaGate::giveBack);
			if (answer.answer().status() == HttpStatus.UNAVAILABLE) {
				this.metrics.teams().recordRefusal(Refusal.CAPACITY);
			}
		}
		return answer;
	}

	private void recordAnswer(Optional<Team> team, RoutedAnswer answer) {
		team.ifPresent((named) -> this.metrics.teams().recordAnswer(named.name(), answer.answer().verdict()));
	}

	/**
	 * A request whose route and access key are accepted.
	 *
	 * @param configuration configuration that accepts them
	 * @param target service and rules
	 * @param team team that holds the key, empty without a key
	 */
	private record Permitted(MeshConfiguration configuration, RouteSearch.Target target, Optional<Team> team) {

	}

	/**
	 * Refusal that holds only if the configuration is certain.
	 *
	 * @param refusal the refusal
	 * @param counted reason by which it is counted, if it is
	 */
	private record Denial(RoutedAnswer refusal, Optional<Refusal> counted) {

	}

}
