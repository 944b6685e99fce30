package io.lavenderroad.policy.calls;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.ServiceLimits;
import io.lavenderroad.policy.calls.OverloadScenario.RequestClass;

/**
 * Simulation of services on a virtual clock that call each other while they run requests.
 * Callers retry a refused request once after the advised delay, and an idempotent request
 * once after a failure. All nodes decide with the classes of this package.
 */
final class OverloadSimulation {

	private static final double LINK_MILLIS = 1.4;

	private static final double WORK_SPREAD = 0.6;

	/**
	 * Maximum delay before a retry, as a share of the time that the caller has left.
	 */
	private static final double MAXIMUM_DELAY_SHARE = 1 / 3.0;

	private static final int AVOID_MILLIS = 10;

	private static final int RETRY_BURST = 2;

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::millis));

	private final List<Node> nodes = new ArrayList<>();

	private final Map<String, List<Node>> servers = new TreeMap<>();

	private final Map<String, Tally> tallies = new TreeMap<>();

	private final OverloadScenario scenario;

	private final Random random;

	private double now;

	private double countFromMillis;

	private double countUntilMillis;

	OverloadSimulation(OverloadScenario scenario, long seed) {
		this.scenario = scenario;
		this.random = new Random(seed);
		scenario.slowdowns().forEach(this::addServers);
		this.nodes.forEach(Node::discoverEndpoints);
	}

	/**
	 * Schedules requests that arrive at random.
	 * @param perSecond rate over all nodes and classes
	 * @param fromMillis start of the arrivals
	 * @param untilMillis end of the arrivals
	 */
	void arrivals(double perSecond, double fromMillis, double untilMillis) {
		double arrival = fromMillis;
		while (arrival < untilMillis) {
			arrival += -Math.log(1 - this.random.nextDouble()) * 1_000 / perSecond;
			RequestClass drawn = this.scenario.draw(this.random);
			this.events.add(new Event(arrival, () -> new Request(drawn).attempt()));
		}
	}

	/**
	 * Simulates all events and counts the requests that arrive in a window.
	 * @param fromMillis start of the window
	 * @param untilMillis end of the window
	 * @return results by request class
	 */
	Map<String, Tally> run(double fromMillis, double untilMillis) {
		this.countFromMillis = fromMillis;
		this.countUntilMillis = untilMillis;
		this.scenario.classes()
			.forEach((each) -> this.tallies.put(each.name(), new Tally(this.scenario.lateAnswerValue())));
		while (!this.events.isEmpty()) {
			Event next = this.events.poll();
			this.now = next.millis();
			next.action().run();
		}
		return this.tallies;
	}

	private void addServers(String service, List<Double> slowdowns) {
		List<Node> added = new ArrayList<>();
		for (double speed : slowdowns) {
			added.add(new Node(this.nodes.size() + added.size(), service, speed));
		}
		this.servers.put(service, added);
		this.nodes.addAll(added);
	}

	private void schedule(double millis, Runnable action) {
		this.events.add(new Event(this.now + millis, action));
	}

	private double work(double meanMillis) {
		return meanMillis * Math.exp(WORK_SPREAD * this.random.nextGaussian() - WORK_SPREAD * WORK_SPREAD / 2);
	}

	/**
	 * Results of the callers of one class.
	 */
	static final class Tally {

		private final double lateAnswerValue;

		private int requests;

		private int inTarget;

		private int late;

		private int runs;

		private int lostRuns;

		private Tally(double lateAnswerValue) {
			this.lateAnswerValue = lateAnswerValue;
		}

		/**
		 * Returns the number of requests.
		 * @return count
		 */
		int requests() {
			return this.requests;
		}

		/**
		 * Returns the number of answers within the target latency, counted from the first
		 * attempt.
		 * @return count
		 */
		int inTarget() {
			return this.inTarget;
		}

		/**
		 * Returns the number of answers after the target latency.
		 * @return count
		 */
		int late() {
			return this.late;
		}

		/**
		 * Returns the share of runs that failed because a nested call was refused.
		 * @return 0 to 1
		 */
		double lostRuns() {
			return (double) this.lostRuns / Math.max(1, this.runs);
		}

		/**
		 * Returns the share of the possible value that was earned.
		 * @return 0 to 1
		 */
		double earnedValue() {
			return (this.inTarget + this.lateAnswerValue * this.late) / Math.max(1, this.requests);
		}

		@Override
		public String toString() {
			return String.format("asked %d, in target %.2f, late %.2f, runs lost %.2f", this.requests,
					(double) this.inTarget / this.requests, (double) this.late / this.requests, lostRuns());
		}

	}

	private record Event(double millis, Runnable action) {

	}

	/**
	 * Outcome of an attempt.
	 */
	private enum Outcome {

		/**
		 * A server had no free capacity.
		 */
		REFUSED,

		/**
		 * A service that the request calls has no free capacity.
		 */
		SHED,

		/**
		 * The request ran and failed.
		 */
		FAILED,

		/**
		 * The request ran and was answered.
		 */
		SERVED;

		private boolean isRun() {
			return this == FAILED || this == SERVED;
		}

		private ExecutionVerdict verdict() {
			return isRun() ? ExecutionVerdict.RAN : ExecutionVerdict.NOT_RUN;
		}

	}

	/**
	 * A request of a caller, with at most one retry.
	 */
	private final class Request {

		private final RequestClass kind;

		private final double startMillis;

		private final boolean counted;

		private boolean retried;

		private Request(RequestClass kind) {
			this.kind = kind;
			this.startMillis = OverloadSimulation.this.now;
			this.counted = this.startMillis >= OverloadSimulation.this.countFromMillis
					&& this.startMillis < OverloadSimulation.this.countUntilMillis;
			OverloadSimulation.this.tallies.get(kind.name()).requests += this.counted ? 1 : 0;
		}

		private void attempt() {
			Node entry = OverloadSimulation.this.nodes
				.get(OverloadSimulation.this.random.nextInt(OverloadSimulation.this.nodes.size()));
			double deadline = this.startMillis + this.kind.rules().timeoutMillis();
			new Call(this.kind, entry, deadline, this::ended).send();
		}

		private void ended(Outcome outcome) {
			double took = OverloadSimulation.this.now - this.startMillis;
			Tally tally = OverloadSimulation.this.tallies.get(this.kind.name());
			if (outcome == Outcome.SERVED) {
				boolean inTarget = took <= this.kind.rules().targetLatencyMillis();
				tally.inTarget += (this.counted && inTarget) ? 1 : 0;
				tally.late += (this.counted && !inTarget && took <= this.kind.rules().timeoutMillis()) ? 1 : 0;
				return;
			}
			boolean mayRetry = outcome == Outcome.REFUSED || this.kind.rules().idempotent();
			if (this.retried || !mayRetry) {
				return;
			}
			this.retried = true;
			double left = this.kind.rules().timeoutMillis() - took;
			double pause = (outcome == Outcome.REFUSED) ? Math.min(
					RetryAdvice.afterMillis(this.kind.rules().targetLatencyMillis(), OverloadSimulation.this.random),
					left * MAXIMUM_DELAY_SHARE) : 0;
			schedule(Math.max(0, pause), this::attempt);
		}

	}

	/**
	 * State of a call at the node where it enters.
	 */
	private final class Call {

		private final RequestClass kind;

		private final Node entry;

		private final double deadlineMillis;

		private final double objectiveMillis;

		private final Consumer<Outcome> ended;

		private final RetryDecision retry;

		private final List<EndpointLoad> tried = new ArrayList<>();

		private Call(RequestClass kind, Node entry, double deadlineMillis, Consumer<Outcome> ended) {
			this.kind = kind;
			this.entry = entry;
			this.deadlineMillis = deadlineMillis;
			this.objectiveMillis = Math.min(deadlineMillis,
					OverloadSimulation.this.now + kind.rules().latencyObjectiveMillis());
			this.ended = ended;
			RetryBudget budget = entry.budgets.get(kind.service());
			budget.call(ServiceLimits.DEFAULT.retryBudgetBasisPoints());
			this.retry = new RetryDecision(kind.rules(), kind.rules().maximumAttempts(), budget);
		}

		private boolean isNested() {
			return this.kind.isNested();
		}

		private int priority() {
			return isNested() ? BalancingContext.NESTED_PRIORITY : this.kind.rules().priority();
		}

		private void send() {
			Optional<EndpointLoad> chosen = (OverloadSimulation.this.now < this.deadlineMillis)
					? this.entry.choose(this.kind.service(), priority(), this.tried) : Optional.empty();
			if (chosen.isEmpty()) {
				this.ended.accept(Outcome.REFUSED);
				return;
			}
			EndpointLoad target = chosen.get();
			this.tried.add(target);
			target.started();
			double start = OverloadSimulation.this.now;
			Node server = OverloadSimulation.this.nodes.get(Integer.parseInt(target.endpoint().nodeId()));
			schedule(LINK_MILLIS, () -> server.offer(this, (outcome) -> schedule(LINK_MILLIS,
					() -> answered(target, server, outcome, OverloadSimulation.this.now - start))));
		}

		private void answered(EndpointLoad target, Node server, Outcome outcome, double tookMillis) {
			long millis = (long) OverloadSimulation.this.now;
			target.recordReport(millis, server.load(), server.queue.serviceMillis());
			if (isNested()) {
				int priority = this.kind.rules().priority();
				this.entry.dependencies.recordReport(this.kind.service(), priority,
						server.share.share(priority, millis), millis);
			}
			if (outcome == Outcome.SHED) {
				target.abandoned();
				this.ended.accept(Outcome.REFUSED);
				return;
			}
			if (outcome == Outcome.REFUSED) {
				target.recordFull(millis + AVOID_MILLIS / 2 + OverloadSimulation.this.random.nextInt(AVOID_MILLIS),
						priority());
			}
			else {
				target.finished(millis, tookMillis, outcome != Outcome.SERVED);
			}
			boolean again = outcome != Outcome.SERVED && this.retry.mayRetry(outcome.verdict(), outcome.isRun());
			if (again) {
				send();
			}
			else {
				this.ended.accept(outcome);
			}
		}

	}

	/**
	 * A node with its local backend server.
	 */
	private final class Node {

		private final String service;

		private final double speed;

		private final Endpoint endpoint;

		private final AdmissionQueue<Run> queue = new AdmissionQueue<>(OverloadSimulation.this.scenario.slots(),
				ServiceLimits.DEFAULT.queueLength(), 10_000);

		private final Map<String, List<EndpointLoad>> views = new TreeMap<>();

		private final Map<String, RetryBudget> budgets = new TreeMap<>();

		private final BalancingPolicy policy = new ShortestTime();

		private final StartShare share = new StartShare();

		private final NestedRoutes nestedRoutes = new NestedRoutes();

		private final DependencyShare dependencies = new DependencyShare();

		private final List<Run> running = new ArrayList<>();

		private Node(int index, String service, double speed) {
			this.service = service;
			this.speed = speed;
			this.endpoint = new Endpoint(Integer.toString(index), 1, 1, EndpointState.READY, service, "v1", "prairies",
					"regina", "127.0.0.1:" + (7_000 + index), OverloadSimulation.this.scenario.slots(), 100, "");
		}

		private void discoverEndpoints() {
			for (String each : OverloadSimulation.this.servers.keySet()) {
				this.views.put(each,
						OverloadSimulation.this.servers.get(each)
							.stream()
							.map((server) -> new EndpointLoad(server.endpoint))
							.toList());
				this.budgets.put(each, new RetryBudget(RETRY_BURST));
			}
		}

		private Optional<EndpointLoad> choose(String wanted, int priority, List<EndpointLoad> tried) {
			return this.policy.choose(this.views.get(wanted), new BalancingContext("regina",
					(long) OverloadSimulation.this.now, tried, OverloadSimulation.this.random, priority));
		}

		private int load() {
			return this.queue.running() + this.queue.waiting();
		}

		private void offer(Call call, Consumer<Outcome> ended) {
			RequestClass kind = call.kind;
			this.nestedRoutes.observe(kind.name(), call.entry.service, false);
			boolean nested = this.nestedRoutes.origin(kind.name()) == CallOrigin.SERVER;
			if (!nested && !this.dependencies.admits(kind.name(), kind.rules().priority(),
					(long) OverloadSimulation.this.now)) {
				ended.accept(Outcome.SHED);
				return;
			}
			Run run = new Run(this, call, nested, ended);
			AdmissionDecision decision = decide(run);
			if (!nested) {
				this.share.recordNewCall(kind.rules().priority(), decision.isAdmitted(),
						(long) OverloadSimulation.this.now);
			}
			if (decision == AdmissionDecision.FULL) {
				Optional<Run> evicted = nested ? this.queue.evictForNested(call.kind.rules().priority())
						: this.queue.evictLowerPriority(call.kind.rules().priority());
				evicted.ifPresent(Run::refuse);
				decision = evicted.isPresent() ? decide(run) : decision;
			}
			if (decision == AdmissionDecision.RUN) {
				run.start();
			}
			else if (decision == AdmissionDecision.WAIT) {
				schedule(call.deadlineMillis - OverloadSimulation.this.now, run::expire);
			}
			else {
				run.refuse();
			}
		}

		private AdmissionDecision decide(Run run) {
			Call call = run.call;
			int priority = call.kind.rules().priority();
			long millis = (long) OverloadSimulation.this.now;
			return run.nested
					? this.queue.offerNested(run, "", priority, millis, (long) call.objectiveMillis,
							(long) call.deadlineMillis)
					: this.queue.offer(run, "", priority, millis, (long) call.objectiveMillis,
							(long) call.deadlineMillis);
		}

	}

	/**
	 * State of a call at the node of its backend server.
	 */
	private final class Run {

		private final Node node;

		private final Call call;

		private final Consumer<Outcome> onEnd;

		private final boolean nested;

		private final double offeredMillis = OverloadSimulation.this.now;

		private boolean started;

		private double startMillis;

		private int callsLeft;

		private int callsOpen;

		private boolean ended;

		private Run(Node node, Call call, boolean nested, Consumer<Outcome> ended) {
			this.node = node;
			this.call = call;
			this.nested = nested;
			this.onEnd = ended;
		}

		private CallingRoutes.RunningRoute route() {
			return new CallingRoutes.RunningRoute(this.call.kind.name(), this.call.kind.rules().priority());
		}

		private void refuse() {
			this.onEnd.accept(Outcome.REFUSED);
		}

		private void expire() {
			if (!this.started && this.node.queue.remove(this, "")) {
				refuse();
			}
		}

		private void start() {
			this.started = true;
			this.startMillis = OverloadSimulation.this.now;
			this.node.running.add(this);
			if (this.nested) {
				this.node.share.recordWait(this.call.kind.rules().priority(), this.startMillis - this.offeredMillis,
						this.call.kind.rules().latencyObjectiveMillis(), (long) this.startMillis);
			}
			this.callsLeft = this.call.kind.drawCalls(OverloadSimulation.this.random);
			OverloadSimulation.this.tallies.get(this.call.kind.name()).runs++;
			schedule(work(this.call.kind.workMillis()) * this.node.speed, this::proceed);
		}

		private void proceed() {
			if (OverloadSimulation.this.now >= this.call.deadlineMillis) {
				end(Outcome.FAILED);
				return;
			}
			if (this.callsLeft == 0) {
				end(Outcome.SERVED);
				return;
			}
			int calls = this.call.kind.calls().get().together() ? this.callsLeft : 1;
			this.callsLeft -= calls;
			this.callsOpen = calls;
			for (int index = 0; index < calls; index++) {
				sendCall();
			}
		}

		private void sendCall() {
			RequestClass called = OverloadSimulation.this.scenario.find(this.call.kind.calls().get().name());
			this.node.dependencies.callers()
				.recordCall(called.service(), this.node.running.stream().map(Run::route).toList());
			double deadline = Math.min(this.call.deadlineMillis,
					OverloadSimulation.this.now + called.rules().timeoutMillis());
			new Call(called, this.node, deadline, this::called).send();
		}

		private void called(Outcome outcome) {
			if (this.ended) {
				return;
			}
			if (outcome != Outcome.SERVED) {
				OverloadSimulation.this.tallies.get(this.call.kind.name()).lostRuns++;
				end(Outcome.FAILED);
				return;
			}
			this.callsOpen--;
			if (this.callsOpen == 0) {
				proceed();
			}
		}

		private void end(Outcome outcome) {
			this.ended = true;
			double took = OverloadSimulation.this.now - this.startMillis;
			this.node.running.remove(this);
			this.node.queue.release("", took, (long) OverloadSimulation.this.now).ifPresent(Run::start);
			this.onEnd.accept(outcome);
		}

	}

}
