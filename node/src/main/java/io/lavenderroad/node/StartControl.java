package io.lavenderroad.node;

import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.ColdStart;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.policy.calls.ColdRateLimit;
import io.lavenderroad.policy.calls.Pace;
import org.tinylog.Logger;

/**
 * Last check before a call starts at the local backend server. Every call passes it, also
 * those that leave the queue, nested calls and calls with an idempotency key. It refuses
 * calls while the failure domain is evacuated, those over the rate that a cold backend
 * server tolerates, and those over the pace of a server that recovers. The lock guards
 * rate limit, pace, slots and the logged state.
 */
final class StartControl {

	static final String NOT_CONFIGURED = "the node of the backend server has no configuration yet";

	static final String AT_PACE = "backend server recovers and is at its limit";

	static final String COLD = "backend server is cold and at its rate limit";

	/**
	 * How long callers avoid an endpoint of an evacuated failure domain. The order
	 * reaches their nodes within that time.
	 */
	private static final int AVOID_EVACUATED_MILLIS = 3_000;

	/**
	 * How long callers avoid a node without a configuration, which gets one soon after
	 * its start.
	 */
	private static final int AVOID_NOT_CONFIGURED_MILLIS = 200;

	/**
	 * How long callers avoid an endpoint that is at the limit of its pace, with jitter:
	 * about the time of a call, after which a call has ended there.
	 */
	private static final int AVOID_PACE_MILLIS = 10;

	/**
	 * Smallest pace that is reported, so that a cold server gets calls at all.
	 */
	private static final double MINIMUM_PACE = 0.01;

	/**
	 * Shortest time between two log lines on the pace, so that a server that changes
	 * often does not fill the log.
	 */
	private static final long LOG_INTERVAL_MILLIS = 1_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final int PERCENT = 100;

	private final Clock clock;

	private final RandomGenerator random;

	private final MeshView view;

	private final Endpoint self;

	private final LocalBackend backend;

	private final Consumer<CallAnswer> refuseWaiting;

	private final ReentrantLock lock = new ReentrantLock();

	private final ColdRateLimit rateLimit = new ColdRateLimit();

	private final Pace pace;

	/**
	 * Last value that was logged.
	 */
	private Optional<Pace.Cause> loggedCause = Optional.empty();

	private long loggedMillis = Long.MIN_VALUE / 2;

	private final LongAdder restrictions = new LongAdder();

	private final LongAdder paceRefusals = new LongAdder();

	private final LongAdder coldRefusals = new LongAdder();

	private final LongAdder evacuationRefusals = new LongAdder();

	private final boolean limited;

	private int slots;

	private volatile boolean configured;

	private volatile boolean evacuated;

	private volatile double coldPerSecond;

	/**
	 * Whether the service declares how its backend servers start. Otherwise the pace is
	 * not limited.
	 */
	private volatile boolean paced;

	StartControl(Clock clock, RandomGenerator random, MeshView view, Endpoint self, LocalBackend backend,
			Consumer<CallAnswer> refuseWaiting, boolean limited) {
		this.clock = clock;
		this.random = random;
		this.view = view;
		this.self = self;
		this.backend = backend;
		this.refuseWaiting = refuseWaiting;
		this.limited = limited;
		this.slots = self.slots();
		this.pace = new Pace(limited ? self.slots() : 1, random);
		configure();
		view.onChange(this::configure);
	}

	/**
	 * Returns why a call would be refused now. A call that would be refused does not
	 * wait.
	 * @return the refusal, or empty if a call may start
	 */
	Optional<CallAnswer> refusal() {
		return decide(false);
	}

	/**
	 * Decides whether a call starts now, and counts its start.
	 * @return the refusal, or empty if the call starts
	 */
	Optional<CallAnswer> start() {
		return decide(true);
	}

	/**
	 * Records the end of a call that has started.
	 * @param route name of the route
	 * @param startMillis clock reading at its start in milliseconds
	 * @param outcome what it shows about the backend server
	 * @param serviceMillis how long it ran, at the usual speed of the VM
	 */
	void ended(String route, long startMillis, Pace.Outcome outcome, double serviceMillis) {
		this.lock.lock();
		try {
			boolean before = this.pace.cause().isPresent();
			this.pace.ended(route, startMillis, this.clock.millis(), this.paced ? outcome : Pace.Outcome.NONE,
					serviceMillis);
			if (!before && this.pace.cause().isPresent()) {
				this.restrictions.increment();
			}
			logCause();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Restricts the pace of the backend server.
	 * @param cause the event
	 */
	void restrict(Pace.Cause cause) {
		if (!this.paced) {
			return;
		}
		this.lock.lock();
		try {
			this.pace.restrict(cause, this.clock.millis());
			this.restrictions.increment();
			logCause();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Changes the number of slots of the backend server.
	 * @param slots calls that it runs at the same time
	 */
	void setSlots(int slots) {
		this.lock.lock();
		try {
			this.slots = slots;
			this.pace.setSlots(this.limited ? slots : 1);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the share of its slots that the backend server may use. The rate limit of a
	 * cold server counts as the slots that it keeps occupied.
	 * @param serviceMillis service time of a call in milliseconds, 0 if unknown
	 * @return above 0, at most 1
	 */
	double pace(double serviceMillis) {
		this.lock.lock();
		try {
			double share = this.paced ? this.pace.share() : 1;
			if (isRateLimited()) {
				double occupied = this.coldPerSecond * Math.max(1, serviceMillis) / MILLIS_PER_SECOND;
				share = Math.min(share, occupied / Math.max(1, this.slots));
			}
			return Math.max(MINIMUM_PACE, share);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the share of its slots that the pace allows, for the metrics.
	 * @return percent
	 */
	int pacePercent() {
		this.lock.lock();
		try {
			return (int) Math.round(PERCENT * this.pace.share());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the number of restrictions of the pace.
	 * @return count since the start of the process
	 */
	long restrictions() {
		return this.restrictions.sum();
	}

	/**
	 * Returns the number of calls that were refused because of the pace.
	 * @return count since the start of the process
	 */
	long paceRefusals() {
		return this.paceRefusals.sum();
	}

	/**
	 * Returns the number of calls that were refused because the backend server was cold.
	 * @return count since the start of the process
	 */
	long coldRefusals() {
		return this.coldRefusals.sum();
	}

	/**
	 * Returns the number of calls that were refused because of an evacuation.
	 * @return count since the start of the process
	 */
	long evacuationRefusals() {
		return this.evacuationRefusals.sum();
	}

	/**
	 * Returns whether the failure domain of this node is evacuated.
	 * @return true if no call may start
	 */
	boolean isEvacuated() {
		return this.evacuated;
	}

	private Optional<CallAnswer> decide(boolean starts) {
		if (!this.configured) {
			return Optional.of(CallAnswer.notRun(HttpStatus.UNAVAILABLE, NOT_CONFIGURED)
				.withAvoidance(Avoidance.ofAllCalls(AVOID_NOT_CONFIGURED_MILLIS)));
		}
		if (this.evacuated) {
			this.evacuationRefusals.increment();
			return Optional.of(evacuationRefusal());
		}
		this.lock.lock();
		try {
			return decideLocked(starts);
		}
		finally {
			this.lock.unlock();
		}
	}

	private Optional<CallAnswer> decideLocked(boolean starts) {
		long now = this.clock.millis();
		double perSecond = this.coldPerSecond;
		boolean rateLimited = isRateLimited();
		this.pace.hold(rateLimited);
		long waitMillis = rateLimited ? this.rateLimit.waitMillis(now, perSecond) : 0;
		if (waitMillis > 0) {
			return Optional.of(coldRefusal(waitMillis, perSecond));
		}
		if (this.paced && this.pace.isFull()) {
			return Optional.of(paceRefusal());
		}
		if (starts) {
			this.pace.started();
			if (perSecond > 0) {
				this.rateLimit.record(now, perSecond);
			}
		}
		return Optional.empty();
	}

	private boolean isRateLimited() {
		return this.coldPerSecond > 0 && this.backend.isCold();
	}

	private CallAnswer paceRefusal() {
		this.paceRefusals.increment();
		return CallAnswer.notRun(HttpStatus.UNAVAILABLE, AT_PACE)
			.withAvoidance(Avoidance.ofAllCalls(AVOID_PACE_MILLIS / 2 + this.random.nextInt(AVOID_PACE_MILLIS)));
	}

	private void logCause() {
		long now = this.clock.millis();
		Optional<Pace.Cause> cause = this.pace.cause();
		if (cause.equals(this.loggedCause) || now - this.loggedMillis < LOG_INTERVAL_MILLIS) {
			return;
		}
		if (cause.isPresent()) {
			Logger.info("node: Pace of the backend server is limited to {} of {} calls at once: {}.", this.pace.limit(),
					this.slots, cause.get());
		}
		else {
			Logger.info("node: Pace of the backend server is no longer limited.");
		}
		this.loggedCause = cause;
		this.loggedMillis = now;
	}

	// The jitter of one start interval keeps the senders from returning at the same time.
	private CallAnswer coldRefusal(long waitMillis, double perSecond) {
		this.coldRefusals.increment();
		int interval = (int) (ColdRateLimit.WINDOW_MILLIS / ColdRateLimit.startsPerWindow(perSecond));
		return CallAnswer.notRun(HttpStatus.UNAVAILABLE, COLD)
			.withAvoidance(Avoidance.ofAllCalls((int) waitMillis + this.random.nextInt(interval + 1)));
	}

	private CallAnswer evacuationRefusal() {
		return CallAnswer
			.notRun(HttpStatus.UNAVAILABLE, "failure domain " + this.self.failureDomain() + " is evacuated")
			.withAvoidance(Avoidance.ofAllCalls(AVOID_EVACUATED_MILLIS));
	}

	// Called on each change of the view, possibly with a lock of the view held, so it
	// announces nothing.
	private synchronized void configure() {
		Optional<MeshConfiguration> configuration = this.view.configuration();
		ColdStart coldStart = configuration.flatMap((active) -> active.service(this.self.service()))
			.map(ServiceConfiguration::coldStart)
			.orElse(ColdStart.NONE);
		this.coldPerSecond = coldStart.requestsPerSecond();
		this.paced = coldStart.isDeclared();
		boolean now = configuration.map((active) -> active.evacuations().contains(this.self.failureDomain()))
			.orElse(this.evacuated);
		if (now != this.evacuated) {
			changeEvacuated(now, configuration.map(MeshConfiguration::version).orElse(0L));
		}
		this.configured = configuration.isPresent();
	}

	private void changeEvacuated(boolean now, long version) {
		Logger.info("node: Evacuation of failure domain {} has {}, configuration {}.", this.self.failureDomain(),
				now ? "begun" : "ended", version);
		if (now) {
			this.evacuated = true;
			this.refuseWaiting.accept(evacuationRefusal());
		}
		else {
			// Cold before the first call can start.
			this.backend.treatAsCold();
			restrict(Pace.Cause.COLD);
			this.evacuated = false;
		}
	}

}
