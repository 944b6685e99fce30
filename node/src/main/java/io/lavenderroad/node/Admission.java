package io.lavenderroad.node;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.ServiceLimits;
import io.lavenderroad.node.http.Cancellation;
import io.lavenderroad.policy.calls.AdmissionDecision;
import io.lavenderroad.policy.calls.AdmissionQueue;
import io.lavenderroad.policy.calls.StartShare;
import io.vavr.control.Either;

/**
 * Admission control of the local backend server: grants its slots. No other component
 * decides whether a call runs there, so a refusal proves that the call did not run. The
 * lock guards all mutable state.
 */
final class Admission {

	/**
	 * How long callers avoid an endpoint that refused a call because its queue was full
	 * or the expected wait too long, with jitter. A full default queue holds more work
	 * than that.
	 */
	private static final int AVOID_FULL_MILLIS = 10;

	/**
	 * How long callers avoid a draining endpoint. Longer than the announcement of a drain
	 * needs to reach every node.
	 */
	private static final int AVOID_DRAINING_MILLIS = 3_000;

	/**
	 * A call is overdue once it has run for this multiple of the smoothed service time.
	 */
	private static final double OVERDUE_FACTOR = 2;

	/**
	 * Minimum number of calls over which the overdue time of running calls is averaged,
	 * so that a few slow calls do not dominate the mean.
	 */
	private static final int MINIMUM_SAMPLE = 4;

	private static final CallAnswer GRANTED = CallAnswer.ran(0, List.of(), CallAnswer.NO_BODY);

	private final Clock clock;

	private final RandomGenerator random;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition idle = this.lock.newCondition();

	private final AdmissionQueue<QueuedCall> queue;

	private final StartShare startShare = new StartShare();

	private final boolean limited;

	/**
	 * Slots that are held by running calls.
	 */
	private final Set<Slot> heldSlots = new HashSet<>();

	private boolean draining;

	Admission(Clock clock, RandomGenerator random, int slots, boolean limited) {
		this.clock = clock;
		this.random = random;
		this.limited = limited;
		this.queue = new AdmissionQueue<>(limited ? slots : Integer.MAX_VALUE, ServiceLimits.DEFAULT.queueLength(),
				ServiceLimits.DEFAULT.customerShareBasisPoints());
	}

	/**
	 * Waits for a slot.
	 * @param customer customer of the call
	 * @param deadlineMillis deadline of the call
	 * @param limits active limits of the service
	 * @param cancellation ends the wait early
	 * @return the slot, or a refusal with the verdict "not run"
	 */
	Either<CallAnswer, Slot> acquire(String customer, long deadlineMillis, ServiceLimits limits,
			Cancellation cancellation) {
		return acquire(new SlotRequest(customer, 0, false, deadlineMillis, deadlineMillis), limits, cancellation);
	}

	/**
	 * Waits for a slot. A call that is not nested waits only if it is expected to end
	 * within its latency objective.
	 * @param request the call
	 * @param limits active limits of the service
	 * @param cancellation ends the wait early
	 * @return the slot, or a refusal with the verdict "not run"
	 */
	Either<CallAnswer, Slot> acquire(SlotRequest request, ServiceLimits limits, Cancellation cancellation) {
		long now = this.clock.millis();
		QueuedCall call = new QueuedCall(request, now);
		String customer = request.customer();
		this.lock.lock();
		try {
			if (this.draining) {
				return Either.left(drainRefusal());
			}
			this.queue.setLimits(limits.queueLength(), limits.customerShareBasisPoints());
			if (!request.nested()) {
				this.queue.recordDemand(customer, now);
			}
			AdmissionDecision decision = offer(call, now);
			if (decision == AdmissionDecision.FULL && (evictLowerPriority(request) || evictOverShare(request))) {
				decision = offer(call, now);
			}
			if (!request.nested()) {
				this.startShare.recordNewCall(request.priority(), decision.isAdmitted(), now);
			}
			if (decision == AdmissionDecision.RUN) {
				return Either.right(takeSlot(call, now));
			}
			if (decision != AdmissionDecision.WAIT) {
				return Either.left(refusal(decision));
			}
		}
		finally {
			this.lock.unlock();
		}
		cancellation.onCancel(() -> call.result
			.complete(CallAnswer.notRun(HttpStatus.UNAVAILABLE, "caller has gone while the call was queued")));
		return await(call, request.deadlineMillis() - now);
	}

	/**
	 * Returns the share of requests that may start, of those that make nested calls to
	 * this backend server.
	 * @param priority priority of the requests, 0 is the highest
	 * @return 0 to 1
	 */
	double startShare(int priority) {
		this.lock.lock();
		try {
			return this.startShare.share(priority, this.clock.millis());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Refuses all queued calls because the backend server is leaving.
	 */
	void refuseWaiting() {
		refuseWaiting(drainRefusal());
	}

	/**
	 * Refuses all queued calls.
	 * @param refusal answer to each of them, with the verdict "not run"
	 */
	void refuseWaiting(CallAnswer refusal) {
		this.lock.lock();
		try {
			this.queue.clear().forEach((call) -> call.result.complete(refusal));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Changes the number of slots.
	 * @param slots maximum number of calls that run at the same time
	 */
	void slots(int slots) {
		this.lock.lock();
		try {
			if (this.limited) {
				this.queue.setSlots(slots, this.clock.millis()).forEach(Admission::grant);
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Refuses queued calls and all later ones.
	 * @return true on the first call
	 */
	boolean drain() {
		this.lock.lock();
		try {
			boolean first = !this.draining;
			this.draining = true;
			refuseWaiting();
			return first;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits until no call holds a slot.
	 * @param timeoutMillis maximum wait
	 * @return true if idle
	 */
	boolean awaitIdle(long timeoutMillis) {
		long nanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		this.lock.lock();
		try {
			while (this.queue.running() > 0 && nanos > 0) {
				nanos = this.idle.awaitNanos(nanos);
			}
			return this.queue.running() == 0;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the number of running and queued calls.
	 * @return count
	 */
	int load() {
		this.lock.lock();
		try {
			return this.queue.running() + this.queue.waiting();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the estimated service time at the backend server: the smoothed time of
	 * finished calls plus the mean excess of overdue running calls, so that the estimate
	 * rises before the first slow calls finish.
	 * @return milliseconds, 0 before the first call
	 */
	double serviceMillis() {
		this.lock.lock();
		try {
			double smoothed = this.queue.serviceMillis();
			long now = this.clock.millis();
			double excess = this.heldSlots.stream()
				.mapToDouble((slot) -> Math.max(0, now - slot.startMillis - OVERDUE_FACTOR * smoothed))
				.sum();
			return smoothed + excess / Math.max(MINIMUM_SAMPLE, this.heldSlots.size());
		}
		finally {
			this.lock.unlock();
		}
	}

	boolean isDraining() {
		this.lock.lock();
		try {
			return this.draining;
		}
		finally {
			this.lock.unlock();
		}
	}

	private AdmissionDecision offer(QueuedCall call, long now) {
		SlotRequest request = call.request;
		return request.nested()
				? this.queue.offerNested(call, request.customer(), request.priority(), now, request.objectiveMillis(),
						request.deadlineMillis())
				: this.queue.offer(call, request.customer(), request.priority(), now, request.objectiveMillis(),
						request.deadlineMillis());
	}

	private Either<CallAnswer, Slot> await(QueuedCall call, long waitMillis) {
		CallAnswer result;
		try {
			result = call.result.get(waitMillis, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			result = CallAnswer.notRun(HttpStatus.GATEWAY_TIMEOUT, "deadline passed while the call was queued");
		}
		catch (InterruptedException | ExecutionException ex) {
			result = CallAnswer.notRun(HttpStatus.UNAVAILABLE, "caller has gone while the call was queued");
		}
		if (result == GRANTED) {
			return Either.right(takeSlot(call, this.clock.millis()));
		}
		removeFromQueue(call);
		return Either.left(result);
	}

	// Removes from the queue a call that will not run. If it was granted a slot in the
	// meantime, the slot goes to the next call.
	private void removeFromQueue(QueuedCall call) {
		String customer = call.request.customer();
		this.lock.lock();
		try {
			this.queue.remove(call, customer);
			if (call.granted) {
				releaseLocked(customer, -1);
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	private boolean evictLowerPriority(SlotRequest request) {
		Optional<QueuedCall> evicted = request.nested() ? this.queue.evictForNested(request.priority())
				: this.queue.evictLowerPriority(request.priority());
		return evicted.map((call) -> {
			call.result.complete(refusal(AdmissionDecision.FULL));
			return true;
		}).orElse(false);
	}

	private boolean evictOverShare(SlotRequest request) {
		return this.queue.evictForCustomer(request.customer(), request.priority()).map((call) -> {
			call.result.complete(refusal(AdmissionDecision.OVER_SHARE));
			return true;
		}).orElse(false);
	}

	private void releaseLocked(String customer, double elapsedMillis) {
		this.queue.release(customer, elapsedMillis, this.clock.millis()).ifPresent(Admission::grant);
		if (this.queue.running() == 0) {
			this.idle.signalAll();
		}
	}

	private static void grant(QueuedCall next) {
		next.granted = true;
		next.result.complete(GRANTED);
	}

	private Slot takeSlot(QueuedCall call, long startMillis) {
		SlotRequest request = call.request;
		Slot slot = new Slot(request.customer(), startMillis);
		this.lock.lock();
		try {
			this.heldSlots.add(slot);
			if (request.nested()) {
				this.startShare.recordWait(request.priority(), startMillis - call.enqueuedMillis,
						request.objectiveMillis() - call.enqueuedMillis, startMillis);
			}
		}
		finally {
			this.lock.unlock();
		}
		return slot;
	}

	private CallAnswer refusal(AdmissionDecision decision) {
		Avoidance avoidance = Avoidance.ofPriority(AVOID_FULL_MILLIS / 2 + this.random.nextInt(AVOID_FULL_MILLIS));
		return switch (decision) {
			case OVER_SHARE ->
				CallAnswer.notRun(HttpStatus.UNAVAILABLE, "customer holds its share of the backend server");
			case TOO_LATE ->
				CallAnswer.notRun(HttpStatus.UNAVAILABLE, "expected wait is too long").withAvoidance(avoidance);
			default -> CallAnswer.notRun(HttpStatus.UNAVAILABLE, "queue of the backend server is full")
				.withAvoidance(avoidance);
		};
	}

	static CallAnswer drainRefusal() {
		return CallAnswer.notRun(HttpStatus.UNAVAILABLE, "backend server is draining")
			.withAvoidance(Avoidance.ofAllCalls(AVOID_DRAINING_MILLIS));
	}

	/**
	 * A slot of the backend server, held until it is released.
	 */
	final class Slot {

		private final String customer;

		private final long startMillis;

		private Slot(String customer, long startMillis) {
			this.customer = customer;
			this.startMillis = startMillis;
		}

		/**
		 * Releases the slot. Must be called exactly once.
		 * @param elapsedMillis how long the call ran, or a negative number if it does not
		 * reflect the speed of the backend server and must not count towards its service
		 * time
		 */
		void release(double elapsedMillis) {
			Admission.this.lock.lock();
			try {
				Admission.this.heldSlots.remove(this);
				releaseLocked(this.customer, elapsedMillis);
			}
			finally {
				Admission.this.lock.unlock();
			}
		}

	}

	private static final class QueuedCall {

		private final CompletableFuture<CallAnswer> result = new CompletableFuture<>();

		private final SlotRequest request;

		private final long enqueuedMillis;

		private boolean granted;

		private QueuedCall(SlotRequest request, long enqueuedMillis) {
			this.request = request;
			this.enqueuedMillis = enqueuedMillis;
		}

	}

}
