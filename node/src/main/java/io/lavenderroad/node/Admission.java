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
import io.lavenderroad.policy.calls.EntryShare;
import io.vavr.control.Either;

/**
 * Hands out the slots of the backend server. It is the only place that decides whether a
 * call runs there, so a refusal proves that the call did not run. The lock guards the
 * queue and the drain flag.
 */
final class Admission {

	/**
	 * Endpoints that refuse for lack of room are passed over for this long, jittered. A
	 * full default queue holds more work than that.
	 */
	private static final int AVOID_FULL_MILLIS = 10;

	/**
	 * Longer than the announcement of a drain needs to reach every node.
	 */
	private static final int AVOID_DRAINING_MILLIS = 3_000;

	/**
	 * A call that runs for that many times the usual time counts as overdue.
	 */
	private static final double OVERDUE_FACTOR = 2;

	/**
	 * Running calls from which on their mean tells something.
	 */
	private static final int LEAST_SAMPLE = 4;

	private static final CallAnswer GRANTED = CallAnswer.ran(0, List.of(), CallAnswer.NO_BODY);

	private final Clock clock;

	private final RandomGenerator random;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition idle = this.lock.newCondition();

	private final AdmissionQueue<Waiter> queue;

	private final EntryShare startShare = new EntryShare();

	private final boolean limited;

	/**
	 * Calls that hold a slot.
	 */
	private final Set<Slot> held = new HashSet<>();

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
	 * @param deadlineMillis when the answer is due
	 * @param limits limits in force
	 * @param cancellation ends the wait early
	 * @return the slot, or a refusal with the verdict "not run"
	 */
	Either<CallAnswer, Slot> acquire(String customer, long deadlineMillis, ServiceLimits limits,
			Cancellation cancellation) {
		return acquire(new SlotRequest(customer, 0, false, deadlineMillis, deadlineMillis), limits, cancellation);
	}

	/**
	 * Waits for a slot. A call that is not nested waits only if it is expected to end
	 * before its goal.
	 * @param request the call
	 * @param limits limits in force
	 * @param cancellation ends the wait early
	 * @return the slot, or a refusal with the verdict "not run"
	 */
	Either<CallAnswer, Slot> acquire(SlotRequest request, ServiceLimits limits, Cancellation cancellation) {
		long now = this.clock.millis();
		Waiter waiter = new Waiter(request, now);
		String customer = request.customer();
		this.lock.lock();
		try {
			if (this.draining) {
				return Either.left(drainRefusal());
			}
			this.queue.limits(limits.queueLength(), limits.customerShareBasisPoints());
			AdmissionDecision decision = offer(waiter, now);
			if (decision == AdmissionDecision.FULL && (displaceLessUrgent(request) || displace(customer))) {
				decision = offer(waiter, now);
			}
			if (decision == AdmissionDecision.RUN) {
				return Either.right(hold(waiter, now));
			}
			if (decision != AdmissionDecision.WAIT) {
				return Either.left(refusal(decision));
			}
		}
		finally {
			this.lock.unlock();
		}
		cancellation.onCancel(() -> waiter.result
			.complete(CallAnswer.notRun(HttpStatus.UNAVAILABLE, "caller has gone while the call was queued")));
		return await(waiter, request.deadlineMillis() - now);
	}

	/**
	 * Returns the share of the requests that call this backend server while they run
	 * which may start.
	 * @param rank rank of the requests
	 * @return 0 to 1
	 */
	double startShare(int rank) {
		this.lock.lock();
		try {
			return this.startShare.share(rank, this.clock.millis());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Refuses the calls that wait.
	 */
	void refuseWaiting() {
		this.lock.lock();
		try {
			this.queue.clear().forEach((waiter) -> waiter.result.complete(drainRefusal()));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Changes the number of slots.
	 * @param slots calls that may run at the same time
	 */
	void slots(int slots) {
		this.lock.lock();
		try {
			if (this.limited) {
				this.queue.slots(slots, this.clock.millis()).forEach(Admission::grant);
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Refuses new and waiting calls from now on.
	 * @return true the first time
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
	 * @param timeoutMillis longest wait
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
	 * Returns the calls that run or wait.
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
	 * Returns how long a call runs at the backend server: the smoothed time of the calls
	 * that ended, raised by the calls that have run for much longer, which show a server
	 * that has just become slow.
	 * @return milliseconds, 0 before the first call
	 */
	double serviceMillis() {
		this.lock.lock();
		try {
			double smoothed = this.queue.serviceMillis();
			long now = this.clock.millis();
			double excess = this.held.stream()
				.mapToDouble((slot) -> Math.max(0, now - slot.startMillis - OVERDUE_FACTOR * smoothed))
				.sum();
			return smoothed + excess / Math.max(LEAST_SAMPLE, this.held.size());
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

	private AdmissionDecision offer(Waiter waiter, long now) {
		SlotRequest request = waiter.request;
		return request.nested()
				? this.queue.offerNested(waiter, request.customer(), request.rank(), now, request.deadlineMillis())
				: this.queue.offer(waiter, request.customer(), request.rank(), now, request.goalMillis(),
						request.deadlineMillis());
	}

	private Either<CallAnswer, Slot> await(Waiter waiter, long waitMillis) {
		CallAnswer result;
		try {
			result = waiter.result.get(waitMillis, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			result = CallAnswer.notRun(HttpStatus.GATEWAY_TIMEOUT, "deadline passed while the call was queued");
		}
		catch (InterruptedException | ExecutionException ex) {
			result = CallAnswer.notRun(HttpStatus.UNAVAILABLE, "caller has gone while the call was queued");
		}
		if (result == GRANTED) {
			return Either.right(hold(waiter, this.clock.millis()));
		}
		withdraw(waiter);
		return Either.left(result);
	}

	// Takes a call out of the queue that will not run. If it got a slot in the meantime,
	// the slot goes to the next call.
	private void withdraw(Waiter waiter) {
		String customer = waiter.request.customer();
		this.lock.lock();
		try {
			this.queue.remove(waiter, customer);
			if (waiter.granted) {
				releaseLocked(customer, -1);
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	private boolean displaceLessUrgent(SlotRequest request) {
		Optional<Waiter> displaced = request.nested() ? this.queue.displaceByNested(request.rank())
				: this.queue.displaceLessUrgent(request.rank());
		return displaced.map((waiter) -> {
			waiter.result.complete(refusal(AdmissionDecision.FULL));
			return true;
		}).orElse(false);
	}

	private boolean displace(String customer) {
		return this.queue.displace(customer).map((waiter) -> {
			waiter.result.complete(refusal(AdmissionDecision.OVER_SHARE));
			return true;
		}).orElse(false);
	}

	private void releaseLocked(String customer, double tookMillis) {
		this.queue.release(customer, tookMillis, this.clock.millis()).ifPresent(Admission::grant);
		if (this.queue.running() == 0) {
			this.idle.signalAll();
		}
	}

	private static void grant(Waiter next) {
		next.granted = true;
		next.result.complete(GRANTED);
	}

	private Slot hold(Waiter waiter, long startMillis) {
		SlotRequest request = waiter.request;
		Slot slot = new Slot(request.customer(), startMillis);
		this.lock.lock();
		try {
			this.held.add(slot);
			if (request.nested()) {
				this.startShare.waited(request.rank(), startMillis - waiter.sinceMillis,
						request.goalMillis() - waiter.sinceMillis, startMillis);
			}
		}
		finally {
			this.lock.unlock();
		}
		return slot;
	}

	private CallAnswer refusal(AdmissionDecision decision) {
		Avoidance avoidance = Avoidance.ofRank(AVOID_FULL_MILLIS / 2 + this.random.nextInt(AVOID_FULL_MILLIS));
		return switch (decision) {
			case OVER_SHARE ->
				CallAnswer.notRun(HttpStatus.OVER_SHARE, "customer holds its share of the backend server");
			case TOO_LATE -> CallAnswer.notRun(HttpStatus.UNAVAILABLE, "expected wait is too long").avoid(avoidance);
			default ->
				CallAnswer.notRun(HttpStatus.UNAVAILABLE, "queue of the backend server is full").avoid(avoidance);
		};
	}

	static CallAnswer drainRefusal() {
		return CallAnswer.notRun(HttpStatus.UNAVAILABLE, "backend server is draining")
			.avoid(Avoidance.ofAllCalls(AVOID_DRAINING_MILLIS));
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
		 * Gives the slot back. Called exactly once.
		 * @param tookMillis how long the call ran, or a negative number if that tells
		 * nothing of the server's speed
		 */
		void release(double tookMillis) {
			Admission.this.lock.lock();
			try {
				Admission.this.held.remove(this);
				releaseLocked(this.customer, tookMillis);
			}
			finally {
				Admission.this.lock.unlock();
			}
		}

	}

	private static final class Waiter {

		private final CompletableFuture<CallAnswer> result = new CompletableFuture<>();

		private final SlotRequest request;

		private final long sinceMillis;

		private boolean granted;

		private Waiter(SlotRequest request, long sinceMillis) {
			this.request = request;
			this.sinceMillis = sinceMillis;
		}

	}

}
