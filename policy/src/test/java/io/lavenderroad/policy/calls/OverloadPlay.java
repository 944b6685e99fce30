package io.lavenderroad.policy.calls;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.model.CallRules;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.ServiceLimits;

/**
 * Two services, one of which calls the other while it runs a request, played on a clock
 * of its own. The called service has lost one of its three servers. Callers send a
 * refused request once more when they are told to, and an idempotent one after a failure.
 * Every node decides with the classes of this package.
 */
final class OverloadPlay {

	/**
	 * Requests for each second that the called service can just serve.
	 */
	static final double CAPACITY_PER_SECOND = 512;

	private static final int SLOTS = 12;

	private static final double[] CALLING_SPEEDS = { 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7 };

	private static final double[] CALLED_SPEEDS = { 1.0, 1.4 };

	private static final double LINK_MILLIS = 1.4;

	private static final double WORK_SPREAD = 0.6;

	/**
	 * Callers come back after at most this part of the time that they have left.
	 */
	private static final double SHARE_OF_TIME_LEFT = 1 / 3.0;

	private static final int AVOID_MILLIS = 10;

	private static final int RETRY_BURST = 2;

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::millis));

	private final List<Node> nodes = new ArrayList<>();

	private final Map<Service, List<Node>> servers = new EnumMap<>(Service.class);

	private final Map<RequestClass, Tally> tallies = new EnumMap<>(RequestClass.class);

	private final Random random;

	private double now;

	private double countFromMillis;

	private double countUntilMillis;

	OverloadPlay(long seed) {
		this.random = new Random(seed);
		addServers(Service.CALLING, CALLING_SPEEDS);
		addServers(Service.CALLED, CALLED_SPEEDS);
		this.nodes.forEach(Node::meet);
	}

	/**
	 * Adds requests that arrive at random.
	 * @param perSecond rate over all nodes and classes
	 * @param fromMillis start
	 * @param untilMillis end
	 */
	void arrivals(double perSecond, double fromMillis, double untilMillis) {
		double arrival = fromMillis;
		while (arrival < untilMillis) {
			arrival += -Math.log(1 - this.random.nextDouble()) * 1_000 / perSecond;
			RequestClass drawn = RequestClass.draw(this.random);
			this.events.add(new Event(arrival, () -> new Request(drawn).attempt()));
		}
	}

	/**
	 * Plays all events and counts the requests that arrive in a window.
	 * @param fromMillis start of the window
	 * @param untilMillis end of the window
	 * @return what callers got, by class
	 */
	Map<RequestClass, Tally> play(double fromMillis, double untilMillis) {
		this.countFromMillis = fromMillis;
		this.countUntilMillis = untilMillis;
		for (RequestClass each : RequestClass.values()) {
			this.tallies.put(each, new Tally());
		}
		while (!this.events.isEmpty()) {
			Event next = this.events.poll();
			this.now = next.millis();
			next.action().run();
		}
		return this.tallies;
	}

	private void addServers(Service service, double[] speeds) {
		List<Node> added = new ArrayList<>();
		for (double speed : speeds) {
			added.add(new Node(this.nodes.size() + added.size(), service, speed));
		}
		this.servers.put(service, added);
		this.nodes.addAll(added);
	}

	private void later(double millis, Runnable action) {
		this.events.add(new Event(this.now + millis, action));
	}

	private double work(double meanMillis) {
		return meanMillis * Math.exp(WORK_SPREAD * this.random.nextGaussian() - WORK_SPREAD * WORK_SPREAD / 2);
	}

	/**
	 * The two services.
	 */
	enum Service {

		/**
		 * Calls the other one.
		 */
		CALLING,

		/**
		 * Is called by the other one and by callers.
		 */
		CALLED

	}

	/**
	 * Kinds of requests, with the figures of Prairie Pantry.
	 */
	enum RequestClass {

		/**
		 * Makes calls while it runs.
		 */
		CHECK(Service.CALLING, 4.9, 120, 400, 1_000, 2, true, 1),

		/**
		 * Runs at the calling service alone.
		 */
		ORDER(Service.CALLING, 2.3, 160, 500, 1_200, 1, false, 2),

		/**
		 * The most urgent one, at the called service.
		 */
		CHARGE(Service.CALLED, 1.7, 84, 250, 600, 0, false, 3),

		/**
		 * A short one, at the called service.
		 */
		STATUS(Service.CALLED, 1.2, 48, 150, 400, 1, true, 2),

		/**
		 * The call that a check makes.
		 */
		POSITION(Service.CALLED, 0, 30, 120, 400, 2, true, 0);

		private static final double LATE_SHARE = 0.3;

		private static final int MOST_CALLS = 2;

		private static final double CALL_SHARE = 0.7;

		private final Service service;

		private final double share;

		private final double workMillis;

		private final CallRules rules;

		private final double worth;

		RequestClass(Service service, double share, double workMillis, int targetMillis, int timeoutMillis, int rank,
				boolean idempotent, double worth) {
			this.service = service;
			this.share = share;
			this.workMillis = workMillis;
			this.worth = worth;
			this.rules = new CallRules(name(), idempotent, timeoutMillis, targetMillis, rank, 2, 1_024);
		}

		private static RequestClass draw(Random random) {
			double sum = 0;
			for (RequestClass each : values()) {
				sum += each.share;
			}
			double point = random.nextDouble() * sum;
			for (RequestClass each : values()) {
				point -= each.share;
				if (point < 0) {
					return each;
				}
			}
			return CHECK;
		}

		private int calls(Random random) {
			int calls = 0;
			for (int index = 0; this == CHECK && index < MOST_CALLS; index++) {
				calls += (random.nextDouble() < CALL_SHARE) ? 1 : 0;
			}
			return calls;
		}

	}

	/**
	 * What the callers of one class got.
	 */
	static final class Tally {

		private int asked;

		private int inTarget;

		private int late;

		private int runs;

		private int lostRuns;

		/**
		 * Returns the requests of callers.
		 * @return count
		 */
		int asked() {
			return this.asked;
		}

		/**
		 * Returns the answers within the target latency, counted from the first try.
		 * @return count
		 */
		int inTarget() {
			return this.inTarget;
		}

		/**
		 * Returns the answers after the target latency.
		 * @return count
		 */
		int late() {
			return this.late;
		}

		/**
		 * Returns the share of runs that ended in a failure because a call was refused.
		 * @return 0 to 1
		 */
		double lostRuns() {
			return (double) this.lostRuns / Math.max(1, this.runs);
		}

		/**
		 * Returns the part of the worth that was earned; a late answer earns 0.3.
		 * @return 0 to 1
		 */
		double earned() {
			return (this.inTarget + RequestClass.LATE_SHARE * this.late) / Math.max(1, this.asked);
		}

		@Override
		public String toString() {
			return String.format("asked %d, in target %.2f, late %.2f, runs lost %.2f", this.asked,
					(double) this.inTarget / this.asked, (double) this.late / this.asked, lostRuns());
		}

	}

	private record Event(double millis, Runnable action) {

	}

	/**
	 * How a try ended.
	 */
	private enum Outcome {

		/**
		 * One server had no room.
		 */
		REFUSED,

		/**
		 * A service that the request calls has no room.
		 */
		SHED,

		/**
		 * The run failed.
		 */
		FAILED,

		/**
		 * The run brought an answer.
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
	 * A request of a caller with its one repetition.
	 */
	private final class Request {

		private final RequestClass kind;

		private final double startMillis;

		private final boolean counted;

		private boolean repeated;

		private Request(RequestClass kind) {
			this.kind = kind;
			this.startMillis = OverloadPlay.this.now;
			this.counted = this.startMillis >= OverloadPlay.this.countFromMillis
					&& this.startMillis < OverloadPlay.this.countUntilMillis;
			OverloadPlay.this.tallies.get(kind).asked += this.counted ? 1 : 0;
		}

		private void attempt() {
			Node entry = OverloadPlay.this.nodes.get(OverloadPlay.this.random.nextInt(OverloadPlay.this.nodes.size()));
			double deadline = this.startMillis + this.kind.rules.timeoutMillis();
			new Call(this.kind, entry, deadline, this::ended).send();
		}

		private void ended(Outcome outcome) {
			double took = OverloadPlay.this.now - this.startMillis;
			Tally tally = OverloadPlay.this.tallies.get(this.kind);
			if (outcome == Outcome.SERVED) {
				boolean inTarget = took <= this.kind.rules.targetLatencyMillis();
				tally.inTarget += (this.counted && inTarget) ? 1 : 0;
				tally.late += (this.counted && !inTarget && took <= this.kind.rules.timeoutMillis()) ? 1 : 0;
				return;
			}
			boolean mayRepeat = outcome == Outcome.REFUSED || this.kind.rules.idempotent();
			if (this.repeated || !mayRepeat) {
				return;
			}
			this.repeated = true;
			double left = this.kind.rules.timeoutMillis() - took;
			double pause = (outcome == Outcome.REFUSED)
					? Math.min(RetryAdvice.afterMillis(this.kind.rules.targetLatencyMillis(), OverloadPlay.this.random),
							left * SHARE_OF_TIME_LEFT)
					: 0;
			later(Math.max(0, pause), this::attempt);
		}

	}

	/**
	 * A call as the node where it enters sees it.
	 */
	private final class Call {

		private final RequestClass kind;

		private final Node entry;

		private final double deadlineMillis;

		private final double goalMillis;

		private final Consumer<Outcome> ended;

		private final RetryDecision retry;

		private final List<EndpointLoad> tried = new ArrayList<>();

		private Call(RequestClass kind, Node entry, double deadlineMillis, Consumer<Outcome> ended) {
			this.kind = kind;
			this.entry = entry;
			this.deadlineMillis = deadlineMillis;
			this.goalMillis = Math.min(deadlineMillis, OverloadPlay.this.now + kind.rules.goalMillis());
			this.ended = ended;
			RetryBudget budget = entry.budgets.get(kind.service);
			budget.call(ServiceLimits.DEFAULT.retryBudgetBasisPoints());
			this.retry = new RetryDecision(kind.rules, kind.rules.mostAttempts(), budget);
		}

		private boolean isNested() {
			return this.kind == RequestClass.POSITION;
		}

		private int rank() {
			return isNested() ? BalancingContext.NESTED_RANK : this.kind.rules.priority();
		}

		private void send() {
			Optional<EndpointLoad> chosen = (OverloadPlay.this.now < this.deadlineMillis)
					? this.entry.choose(this.kind.service, rank(), this.tried) : Optional.empty();
			if (chosen.isEmpty()) {
				this.ended.accept(Outcome.REFUSED);
				return;
			}
			EndpointLoad target = chosen.get();
			this.tried.add(target);
			target.started();
			double start = OverloadPlay.this.now;
			Node server = OverloadPlay.this.nodes.get(Integer.parseInt(target.endpoint().nodeId()));
			later(LINK_MILLIS, () -> server.offer(this, (outcome) -> later(LINK_MILLIS,
					() -> answered(target, server, outcome, OverloadPlay.this.now - start))));
		}

		private void answered(EndpointLoad target, Node server, Outcome outcome, double tookMillis) {
			long millis = (long) OverloadPlay.this.now;
			target.hint(millis, server.load(), server.queue.serviceMillis());
			if (isNested()) {
				int rank = this.kind.rules.priority();
				this.entry.dependencies.reported(this.kind.service.name(), rank, server.share.share(rank, millis),
						millis);
			}
			if (outcome == Outcome.SHED) {
				target.abandoned();
				this.ended.accept(Outcome.REFUSED);
				return;
			}
			if (outcome == Outcome.REFUSED) {
				target.full(millis + AVOID_MILLIS / 2 + OverloadPlay.this.random.nextInt(AVOID_MILLIS), rank());
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
	 * A node with its server.
	 */
	private final class Node {

		private final Service service;

		private final double speed;

		private final Endpoint endpoint;

		private final AdmissionQueue<Run> queue = new AdmissionQueue<>(SLOTS, ServiceLimits.DEFAULT.queueLength(),
				10_000);

		private final Map<Service, List<EndpointLoad>> views = new EnumMap<>(Service.class);

		private final Map<Service, RetryBudget> budgets = new EnumMap<>(Service.class);

		private final BalancingPolicy policy = new ShortestTime();

		private final EntryShare share = new EntryShare();

		private final NestedRoutes nestedRoutes = new NestedRoutes();

		private final DependencyShare dependencies = new DependencyShare();

		private final List<Run> running = new ArrayList<>();

		private Node(int index, Service service, double speed) {
			this.service = service;
			this.speed = speed;
			this.endpoint = new Endpoint(Integer.toString(index), 1, 1, EndpointState.READY, service.name(), "v1",
					"prairies", "regina", "127.0.0.1:" + (7_000 + index), SLOTS, 100, "");
		}

		private void meet() {
			for (Service each : Service.values()) {
				this.views.put(each,
						OverloadPlay.this.servers.get(each)
							.stream()
							.map((server) -> new EndpointLoad(server.endpoint, 0))
							.toList());
				this.budgets.put(each, new RetryBudget(RETRY_BURST));
			}
		}

		private Optional<EndpointLoad> choose(Service wanted, int rank, List<EndpointLoad> tried) {
			return this.policy.choose(this.views.get(wanted), new BalancingContext("regina",
					(long) OverloadPlay.this.now, tried, OverloadPlay.this.random, rank));
		}

		private int load() {
			return this.queue.running() + this.queue.waiting();
		}

		private void offer(Call call, Consumer<Outcome> ended) {
			RequestClass kind = call.kind;
			this.nestedRoutes.observe(kind.name(), call.entry.service.name(), false);
			boolean nested = this.nestedRoutes.origin(kind.name()) == CallOrigin.SERVER;
			if (!nested
					&& !this.dependencies.admits(kind.name(), kind.rules.priority(), (long) OverloadPlay.this.now)) {
				ended.accept(Outcome.SHED);
				return;
			}
			Run run = new Run(this, call, nested, ended);
			AdmissionDecision decision = decide(run);
			if (decision == AdmissionDecision.FULL) {
				Optional<Run> displaced = nested ? this.queue.displaceByNested(call.kind.rules.priority())
						: this.queue.displaceLessUrgent(call.kind.rules.priority());
				displaced.ifPresent(Run::refuse);
				decision = displaced.isPresent() ? decide(run) : decision;
			}
			if (decision == AdmissionDecision.RUN) {
				run.start();
			}
			else if (decision == AdmissionDecision.WAIT) {
				later(call.deadlineMillis - OverloadPlay.this.now, run::expire);
			}
			else {
				run.refuse();
			}
		}

		private AdmissionDecision decide(Run run) {
			Call call = run.call;
			int rank = call.kind.rules.priority();
			long millis = (long) OverloadPlay.this.now;
			return run.nested ? this.queue.offerNested(run, "", rank, millis, (long) call.deadlineMillis)
					: this.queue.offer(run, "", rank, millis, (long) call.goalMillis, (long) call.deadlineMillis);
		}

	}

	/**
	 * A call at the node of its server.
	 */
	private final class Run {

		private final Node node;

		private final Call call;

		private final Consumer<Outcome> ended;

		private final boolean nested;

		private final double offeredMillis = OverloadPlay.this.now;

		private boolean started;

		private double startMillis;

		private int callsLeft;

		private Run(Node node, Call call, boolean nested, Consumer<Outcome> ended) {
			this.node = node;
			this.call = call;
			this.nested = nested;
			this.ended = ended;
		}

		private CallingRoutes.RunningRoute route() {
			return new CallingRoutes.RunningRoute(this.call.kind.name(), this.call.kind.rules.priority());
		}

		private void refuse() {
			this.ended.accept(Outcome.REFUSED);
		}

		private void expire() {
			if (!this.started && this.node.queue.remove(this, "")) {
				refuse();
			}
		}

		private void start() {
			this.started = true;
			this.startMillis = OverloadPlay.this.now;
			this.node.running.add(this);
			if (this.nested) {
				this.node.share.waited(this.call.kind.rules.priority(), this.startMillis - this.offeredMillis,
						this.call.kind.rules.goalMillis(), (long) this.startMillis);
			}
			this.callsLeft = this.call.kind.calls(OverloadPlay.this.random);
			OverloadPlay.this.tallies.get(this.call.kind).runs++;
			later(work(this.call.kind.workMillis) * this.node.speed, this::proceed);
		}

		private void proceed() {
			if (OverloadPlay.this.now >= this.call.deadlineMillis) {
				end(Outcome.FAILED);
				return;
			}
			if (this.callsLeft == 0) {
				end(Outcome.SERVED);
				return;
			}
			this.callsLeft--;
			this.node.dependencies.callers()
				.called(Service.CALLED.name(), this.node.running.stream().map(Run::route).toList());
			new Call(RequestClass.POSITION, this.node, this.call.deadlineMillis, this::called).send();
		}

		private void called(Outcome outcome) {
			if (outcome == Outcome.SERVED) {
				proceed();
				return;
			}
			OverloadPlay.this.tallies.get(this.call.kind).lostRuns++;
			end(Outcome.FAILED);
		}

		private void end(Outcome outcome) {
			double took = OverloadPlay.this.now - this.startMillis;
			this.node.running.remove(this);
			this.node.queue.release("", took, (long) OverloadPlay.this.now).ifPresent(Run::start);
			this.ended.accept(outcome);
		}

	}

}
