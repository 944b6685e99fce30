package io.lavenderroad.node;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.ServiceLimits;
import io.lavenderroad.node.http.Cancellation;
import io.lavenderroad.policy.calls.CallOrigin;
import io.lavenderroad.policy.calls.CallRank;
import io.lavenderroad.policy.calls.NestedRoutes;
import io.lavenderroad.policy.calls.Pace;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Server side of a call: admits calls to the local backend server and runs them there.
 */
final class CallServer {

	/**
	 * The deadline at this node is earlier than that at the node of the caller by the
	 * remaining time divided by this, but by at most {@link #MAXIMUM_MARGIN_MILLIS}, so
	 * that the precise verdict arrives before the node of the caller times out.
	 */
	private static final int MARGIN_DIVISOR = 10;

	private static final int MAXIMUM_MARGIN_MILLIS = 20;

	/**
	 * How long callers avoid an endpoint that no longer serves the requested service and
	 * version; its new announcement reaches them within that time.
	 */
	private static final int AVOID_NOT_SERVING_MILLIS = 200;

	private static final String DEPENDENCY_SHORT_OF_SLOTS = "a service that the request calls is short of slots";

	private final Clock clock;

	private final MeshView view;

	private final Endpoint self;

	private final Admission admission;

	private final BackendClient backend;

	private final LocalBackend localBackend;

	private final KeyLedger keys;

	private final AdmissionStatistics statistics;

	private final CalledServices calledServices;

	private final StartControl startControl;

	private final ReportedLoad reportedLoad;

	private final BackendObserver observer = new Observer();

	private final NestedRoutes nestedRoutes = new NestedRoutes();

	private final Map<RunningCall, Cancellation> running = new ConcurrentHashMap<>();

	private final AtomicInteger keyedCalls = new AtomicInteger();

	private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

	CallServer(Clock clock, MeshView view, Endpoint self, Admission admission, BackendClient backend,
			LocalBackend localBackend, StartControl startControl, ReportedLoad reportedLoad, KeyLedger keys,
			AdmissionStatistics statistics, CalledServices calledServices) {
		this.reportedLoad = reportedLoad;
		this.startControl = startControl;
		this.calledServices = calledServices;
		this.statistics = statistics;
		this.localBackend = localBackend;
		this.keys = keys;
		this.clock = clock;
		this.view = view;
		this.self = self;
		this.admission = admission;
		this.backend = backend;
	}

	/**
	 * Serves a call of another node.
	 * @param connection connection to the node
	 * @param request the call
	 * @return the outcome
	 */
	CallAnswer serve(Connection connection, CallRequest request) {
		RunningCall id = new RunningCall(connection, request.callId());
		Cancellation cancellation = new Cancellation();
		this.running.put(id, cancellation);
		this.connections.add(connection);
		try {
			int margin = Math.min(MAXIMUM_MARGIN_MILLIS, request.remainingMillis() / MARGIN_DIVISOR);
			return serve(request, this.clock.millis() + request.remainingMillis() - margin, cancellation);
		}
		finally {
			this.running.remove(id);
		}
	}

	/**
	 * Serves a call.
	 * @param request the call
	 * @param deadlineMillis deadline of the call, clock reading in milliseconds
	 * @param cancellation ends the call early
	 * @return the outcome
	 */
	CallAnswer serve(CallRequest request, long deadlineMillis, Cancellation cancellation) {
		if (!this.localBackend.serves(request.service(), request.version())) {
			return CallAnswer
				.notRun(HttpStatus.UNAVAILABLE,
						"no backend server of " + request.service() + " " + request.version() + " takes work here")
				.withAvoidance(Avoidance.ofAllCalls(AVOID_NOT_SERVING_MILLIS));
		}
		Optional<CallAnswer> refusal = this.startControl.refusal();
		if (refusal.isPresent()) {
			this.statistics.recordRefusal(request.route(), refusal.get().reason());
			return refusal.get().withReport(report(request, observe(request)));
		}
		// The run of a call that must not run twice continues after its caller has left.
		Cancellation running = request.metadata().idempotent() ? cancellation : new Cancellation();
		CallOrigin routeOrigin = observe(request);
		boolean nested = isNested(routeOrigin, request.metadata().origin());
		CallAnswer answer = request.key().isEmpty() ? admit(request, nested, deadlineMillis, cancellation, running)
				: serveWithKey(request, nested, deadlineMillis, cancellation);
		return answer.withReport(report(request, routeOrigin));
	}

	private CallOrigin observe(CallRequest request) {
		CallMetadata metadata = request.metadata();
		synchronized (this.nestedRoutes) {
			CallOrigin before = this.nestedRoutes.origin(request.route());
			this.nestedRoutes.observe(request.route(), metadata.callerService(),
					metadata.origin() == CallOrigin.CALLER);
			CallOrigin now = this.nestedRoutes.origin(request.route());
			if (now != before) {
				Logger.info("node: Origin of the calls of route {} is {}, was {}.", request.route(), now, before);
			}
			return now;
		}
	}

	// A call that certainly comes from an external caller is not nested. For other calls,
	// the origin that the node of the caller determined applies while this node has
	// observed too few calls of the route.
	private static boolean isNested(CallOrigin route, CallOrigin call) {
		return call != CallOrigin.CALLER
				&& (route == CallOrigin.SERVER || (route == CallOrigin.UNKNOWN && call == CallOrigin.SERVER));
	}

	// A nested call may make calls itself, so the smallest share along the call path
	// applies.
	private ServerReport report(CallRequest request, CallOrigin origin) {
		int priority = request.metadata().priority();
		double share = (origin == CallOrigin.SERVER) ? Math.min(this.admission.startShare(priority),
				this.calledServices.startShare(request.route(), CallRank.ofNestedCalls(priority))) : 1;
		double serviceMillis = this.reportedLoad.atUsualSpeed(this.admission.serviceMillis());
		return new ServerReport(load(), (int) serviceMillis, origin, share, this.startControl.pace(serviceMillis),
				this.reportedLoad.slownessPercent(this.clock.millis()));
	}

	/**
	 * Cancels a call whose caller has left.
	 * @param connection connection to the node of the caller
	 * @param callId number of the call
	 */
	void cancel(Connection connection, long callId) {
		Cancellation cancellation = this.running.get(new RunningCall(connection, callId));
		if (cancellation != null) {
			cancellation.cancel();
		}
	}

	/**
	 * Returns the number of calls whose answers have not been written yet.
	 * @return count
	 */
	int inFlight() {
		int count = Math.max(this.running.size(), this.keyedCalls.get());
		for (Connection connection : this.connections) {
			count = Math.max(count, connection.isOpen() ? connection.pendingAnswers() : 0);
		}
		return count;
	}

	/**
	 * Cancels every call of a closed connection.
	 * @param connection the connection
	 */
	void closed(Connection connection) {
		this.connections.remove(connection);
		this.running.forEach((call, cancellation) -> {
			if (call.connection() == connection) {
				cancellation.cancel();
			}
		});
	}

	/**
	 * Serves a call with an idempotency key on a separate thread: the thread that answers
	 * is interrupted when its connection closes, which would also close the connections
	 * to the holders of the key.
	 * @param request the call
	 * @param nested whether a running request makes the call
	 * @param deadlineMillis deadline of the call, clock reading in milliseconds
	 * @param cancellation ends the wait for a slot early
	 * @return the outcome
	 */
	private CallAnswer serveWithKey(CallRequest request, boolean nested, long deadlineMillis,
			Cancellation cancellation) {
		CompletableFuture<CallAnswer> result = new CompletableFuture<>();
		this.keyedCalls.incrementAndGet();
		Thread.ofVirtual().start(() -> {
			try {
				result.complete(claimAndRun(request, nested, deadlineMillis, cancellation));
			}
			catch (RuntimeException ex) {
				result.completeExceptionally(ex);
			}
			finally {
				this.keyedCalls.decrementAndGet();
			}
		});
		try {
			return result.get();
		}
		catch (InterruptedException ex) {
			return CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY, "connection of the caller has closed");
		}
		catch (ExecutionException ex) {
			throw new LavenderroadException("call with idempotency key failed: " + ex.getCause(), ex.getCause());
		}
	}

	private CallAnswer claimAndRun(CallRequest request, boolean nested, long deadlineMillis,
			Cancellation cancellation) {
		if (this.admission.isDraining()) {
			return Admission.drainRefusal();
		}
		Either<CallAnswer, KeyLedger.Claim> claim = this.keys.claim(request, deadlineMillis);
		if (claim.isLeft()) {
			return claim.getLeft();
		}
		CallAnswer answer = CallAnswer.mayHaveRun(HttpStatus.BAD_GATEWAY, "call failed unexpectedly");
		try {
			// A running call is not cancelled when its caller leaves: the customer will
			// request its answer with the same key.
			answer = admit(request, nested, deadlineMillis, cancellation, new Cancellation());
		}
		finally {
			claim.get().settle(answer);
		}
		return answer;
	}

	private CallAnswer admit(CallRequest request, boolean nested, long deadlineMillis, Cancellation waiting,
			Cancellation running) {
		int priority = request.metadata().priority();
		if (!nested && !this.calledServices.admits(request.route(), CallRank.ofNestedCalls(priority))) {
			this.statistics.recordRefusal(request.route(), DEPENDENCY_SHORT_OF_SLOTS);
			return CallAnswer.notRun(HttpStatus.UNAVAILABLE, DEPENDENCY_SHORT_OF_SLOTS)
				.withAvoidance(Avoidance.ofService());
		}
		long latencyObjectiveMillis = request.metadata().latencyObjectiveMillis();
		long objectiveMillis = (latencyObjectiveMillis > 0)
				? Math.min(deadlineMillis, this.clock.millis() + latencyObjectiveMillis) : deadlineMillis;
		long arrivalNanos = System.nanoTime();
		SlotRequest slotRequest = new SlotRequest(request.customer(), priority, nested, objectiveMillis,
				deadlineMillis);
		Either<CallAnswer, Admission.Slot> slot = this.admission.acquire(slotRequest, limits(), waiting);
		if (slot.isLeft()) {
			this.statistics.recordRefusal(request.route(), slot.getLeft().reason());
			return slot.getLeft();
		}
		Optional<CallAnswer> refusal = this.startControl.start();
		if (refusal.isPresent()) {
			slot.get().release(-1);
			this.statistics.recordRefusal(request.route(), refusal.get().reason());
			return refusal.get();
		}
		long startNanos = System.nanoTime();
		CallAnswer answer = run(request, deadlineMillis, running, slot.get());
		this.statistics.recordRun(request.route(), startNanos - arrivalNanos, System.nanoTime() - startNanos,
				answer.isError());
		return answer;
	}

	// Reported health and load only affect balancing; they never refuse a call.
	private int load() {
		int load = Math.max(this.admission.load() + this.reportedLoad.otherRequests(this.clock.millis()),
				this.localBackend.reportedRunning());
		return this.localBackend.isHealthy() ? load : load + this.self.slots();
	}

	private CallAnswer run(CallRequest request, long deadlineMillis, Cancellation cancellation, Admission.Slot slot) {
		long startNanos = System.nanoTime();
		long startMillis = this.clock.millis();
		double elapsedMillis = -1;
		Pace.Outcome outcome = Pace.Outcome.NONE;
		int nestedRank = CallRank.ofNestedCalls(request.metadata().priority());
		this.calledServices.recordStart(request.route(), nestedRank, deadlineMillis);
		try {
			long remaining = deadlineMillis - this.clock.millis();
			if (remaining <= 0) {
				return CallAnswer.notRun(HttpStatus.GATEWAY_TIMEOUT, "deadline passed while the call was queued");
			}
			if (!this.localBackend.serves(request.service(), request.version())) {
				return Admission.drainRefusal();
			}
			CallAnswer answer = this.backend.run(request, this.localBackend.backendId(), remaining, cancellation,
					this.observer);
			outcome = RunOutcome.of(answer, cancellation.isCancelled());
			// A timeout is a lower bound of the service time; other failures carry no
			// information on it.
			if (answer.status() < HttpStatus.INTERNAL_ERROR || answer.status() == HttpStatus.GATEWAY_TIMEOUT) {
				elapsedMillis = (System.nanoTime() - startNanos) / 1e6;
			}
			return answer;
		}
		finally {
			this.calledServices.recordEnd(request.route(), nestedRank, deadlineMillis);
			double ranMillis = (System.nanoTime() - startNanos) / 1e6 * ServerLoad.USUAL_SLOWNESS_PERCENT
					/ this.reportedLoad.slownessPercent(this.clock.millis());
			this.startControl.ended(request.route(), startMillis, outcome, ranMillis);
			slot.release(elapsedMillis);
		}
	}

	private ServiceLimits limits() {
		return this.view.configuration()
			.flatMap((configuration) -> configuration.service(this.self.service()))
			.map(ServiceConfiguration::limits)
			.orElse(ServiceLimits.DEFAULT);
	}

	private final class Observer implements BackendObserver {

		@Override
		public void unreachable() {
			CallServer.this.localBackend.unreachable();
		}

		@Override
		public void answered(Optional<ServerLoad> load, OptionalLong coldMillis) {
			CallServer.this.reportedLoad.record(load, CallServer.this.admission.load(), CallServer.this.clock.millis());
			if (coldMillis.orElse(0) > 0) {
				CallServer.this.localBackend.observeCold(coldMillis.getAsLong());
			}
		}

	}

	private record RunningCall(Connection connection, long callId) {

	}

}
