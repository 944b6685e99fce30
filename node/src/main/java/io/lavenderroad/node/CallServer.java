package io.lavenderroad.node;

import java.util.Map;
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
import io.lavenderroad.policy.calls.NestedRoutes;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Runs calls at the backend server beside this node.
 */
final class CallServer {

	/**
	 * The answer is ready this share of the remaining time before the deadline of the
	 * caller's node, so that the precise verdict arrives in time.
	 */
	private static final int MARGIN_DIVISOR = 10;

	private static final int LARGEST_MARGIN_MILLIS = 20;

	/**
	 * How long an endpoint is passed over that no longer serves what it was asked for;
	 * its new announcement arrives within that time.
	 */
	private static final int AVOID_OTHER_MILLIS = 200;

	private static final String DEPENDENCY_SHORT = "a service that the request calls is short of slots";

	private final Clock clock;

	private final MeshView view;

	private final Endpoint self;

	private final Admission admission;

	private final BackendClient backend;

	private final LocalBackend monitor;

	private final KeyLedger keys;

	private final AdmissionFigures figures;

	private final CalledServices calledServices;

	private final NestedRoutes nestedRoutes = new NestedRoutes();

	private final Map<RunningCall, Cancellation> running = new ConcurrentHashMap<>();

	private final AtomicInteger keyed = new AtomicInteger();

	private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

	CallServer(Clock clock, MeshView view, Endpoint self, Admission admission, BackendClient backend,
			LocalBackend monitor, KeyLedger keys, AdmissionFigures figures, CalledServices calledServices) {
		this.calledServices = calledServices;
		this.figures = figures;
		this.monitor = monitor;
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
			int margin = Math.min(LARGEST_MARGIN_MILLIS, request.remainingMillis() / MARGIN_DIVISOR);
			return serve(request, this.clock.millis() + request.remainingMillis() - margin, cancellation);
		}
		finally {
			this.running.remove(id);
		}
	}

	/**
	 * Serves a call.
	 * @param request the call
	 * @param deadlineMillis when the answer is due
	 * @param cancellation ends the call early
	 * @return the outcome
	 */
	CallAnswer serve(CallRequest request, long deadlineMillis, Cancellation cancellation) {
		if (!this.monitor.serves(request.service(), request.version())) {
			return CallAnswer
				.notRun(HttpStatus.UNAVAILABLE,
						"no backend server of " + request.service() + " " + request.version() + " takes work here")
				.avoid(Avoidance.ofAllCalls(AVOID_OTHER_MILLIS));
		}
		// The run of a call that must not run twice goes on when its caller leaves.
		Cancellation running = request.traits().idempotent() ? cancellation : new Cancellation();
		CallOrigin routeOrigin = observe(request);
		boolean nested = isNested(routeOrigin, request.traits().origin());
		CallAnswer answer = request.key().isEmpty() ? admit(request, nested, deadlineMillis, cancellation, running)
				: serveOnce(request, nested, deadlineMillis, cancellation);
		return answer.withReport(report(request, routeOrigin));
	}

	private CallOrigin observe(CallRequest request) {
		CallTraits traits = request.traits();
		synchronized (this.nestedRoutes) {
			CallOrigin before = this.nestedRoutes.origin(request.route());
			this.nestedRoutes.observe(request.route(), traits.callerService(), traits.origin() == CallOrigin.CALLER);
			CallOrigin now = this.nestedRoutes.origin(request.route());
			if (now != before) {
				Logger.info("node: Calls of route {} are made by {}, was {}.", request.route(), now, before);
			}
			return now;
		}
	}

	// The node where the call entered decides while this one has seen too few.
	private static boolean isNested(CallOrigin route, CallOrigin call) {
		return call != CallOrigin.CALLER
				&& (route == CallOrigin.SERVER || (route == CallOrigin.UNKNOWN && call == CallOrigin.SERVER));
	}

	// A nested call may make calls itself, so the scarcest service on its path decides.
	private ServerReport report(CallRequest request, CallOrigin origin) {
		int rank = request.traits().priority();
		double share = (origin == CallOrigin.SERVER)
				? Math.min(this.admission.startShare(rank), this.calledServices.startShare(request.route(), rank)) : 1;
		return new ServerReport(load(), (int) this.admission.serviceMillis(), origin, share);
	}

	/**
	 * Cancels a call whose caller has gone.
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
	 * Returns the calls whose answers are not written yet.
	 * @return count
	 */
	int inFlight() {
		int count = Math.max(this.running.size(), this.keyed.get());
		for (Connection connection : this.connections) {
			count = Math.max(count, connection.isOpen() ? connection.answersInProgress() : 0);
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
	 * Serves a call with an idempotency key on a thread of its own: the thread that
	 * answers is interrupted when its connection closes, which would close the
	 * connections to the holders of the key as well.
	 * @param request the call
	 * @param nested whether it is made for a running request
	 * @param deadlineMillis when the answer is due
	 * @param cancellation ends the wait for a slot early
	 * @return the outcome
	 */
	private CallAnswer serveOnce(CallRequest request, boolean nested, long deadlineMillis, Cancellation cancellation) {
		CompletableFuture<CallAnswer> result = new CompletableFuture<>();
		this.keyed.incrementAndGet();
		Thread.ofVirtual().start(() -> {
			try {
				result.complete(claimAndRun(request, nested, deadlineMillis, cancellation));
			}
			catch (RuntimeException ex) {
				result.completeExceptionally(ex);
			}
			finally {
				this.keyed.decrementAndGet();
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
			// Once it runs, the call is not cancelled with its caller: the customer will
			// ask for its answer with the same key.
			answer = admit(request, nested, deadlineMillis, cancellation, new Cancellation());
		}
		finally {
			claim.get().settle(answer);
		}
		return answer;
	}

	private CallAnswer admit(CallRequest request, boolean nested, long deadlineMillis, Cancellation waiting,
			Cancellation running) {
		int rank = request.traits().priority();
		if (!nested && !this.calledServices.admits(request.route(), rank)) {
			this.figures.refused(request.route(), DEPENDENCY_SHORT);
			return CallAnswer.notRun(HttpStatus.UNAVAILABLE, DEPENDENCY_SHORT).avoid(Avoidance.ofService());
		}
		long goal = request.traits().goalMillis();
		long goalMillis = (goal > 0) ? Math.min(deadlineMillis, this.clock.millis() + goal) : deadlineMillis;
		long arrivedNanos = System.nanoTime();
		SlotRequest slotRequest = new SlotRequest(request.customer(), rank, nested, goalMillis, deadlineMillis);
		Either<CallAnswer, Admission.Slot> slot = this.admission.acquire(slotRequest, limits(), waiting);
		if (slot.isLeft()) {
			this.figures.refused(request.route(), slot.getLeft().reason());
			return slot.getLeft();
		}
		long startNanos = System.nanoTime();
		CallAnswer answer = run(request, deadlineMillis, running, slot.get());
		this.figures.ran(request.route(), startNanos - arrivedNanos, System.nanoTime() - startNanos, answer.isError());
		return answer;
	}

	// Health and load of the backend server only change the order of preference.
	private int load() {
		int load = Math.max(this.admission.load(), this.monitor.reportedRunning());
		return this.monitor.isHealthy() ? load : load + this.self.slots();
	}

	private CallAnswer run(CallRequest request, long deadlineMillis, Cancellation cancellation, Admission.Slot slot) {
		long startNanos = System.nanoTime();
		double tookMillis = -1;
		this.calledServices.started(request.route(), request.traits().priority(), deadlineMillis);
		try {
			long remaining = deadlineMillis - this.clock.millis();
			if (remaining <= 0) {
				return CallAnswer.notRun(HttpStatus.GATEWAY_TIMEOUT, "deadline passed while the call was queued");
			}
			if (!this.monitor.serves(request.service(), request.version())) {
				return Admission.drainRefusal();
			}
			CallAnswer answer = this.backend.run(request, this.monitor.backendId(), remaining, cancellation);
			if (!answer.arrived()) {
				this.monitor.unreachable();
			}
			// A time-out is a lower bound of the service time; other failures tell
			// nothing.
			if (answer.status() < HttpStatus.INTERNAL_ERROR || answer.status() == HttpStatus.GATEWAY_TIMEOUT) {
				tookMillis = (System.nanoTime() - startNanos) / 1e6;
			}
			return answer;
		}
		finally {
			this.calledServices.ended(request.route(), request.traits().priority(), deadlineMillis);
			slot.release(tookMillis);
		}
	}

	private ServiceLimits limits() {
		return this.view.configuration()
			.flatMap((configuration) -> configuration.service(this.self.service()))
			.map(ServiceConfiguration::limits)
			.orElse(ServiceLimits.DEFAULT);
	}

	private record RunningCall(Connection connection, long callId) {

	}

}
