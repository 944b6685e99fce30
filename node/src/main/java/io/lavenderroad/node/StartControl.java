package io.lavenderroad.node;

import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.policy.calls.ColdRateLimit;
import org.tinylog.Logger;

/**
 * Last check before a call starts at the local backend server. Every call passes it, also
 * those that leave the queue, nested calls and calls with an idempotency key. It refuses
 * calls while the failure domain is evacuated, and those over the rate that a cold
 * backend server tolerates. The lock guards the rate limit.
 */
final class StartControl {

	static final String NOT_CONFIGURED = "the node of the backend server has no configuration yet";

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

	private final Clock clock;

	private final RandomGenerator random;

	private final MeshView view;

	private final Endpoint self;

	private final LocalBackend backend;

	private final Consumer<CallAnswer> refuseWaiting;

	private final ReentrantLock lock = new ReentrantLock();

	private final ColdRateLimit rateLimit = new ColdRateLimit();

	private final LongAdder coldRefusals = new LongAdder();

	private final LongAdder evacuationRefusals = new LongAdder();

	private volatile boolean configured;

	private volatile boolean evacuated;

	private volatile double coldPerSecond;

	StartControl(Clock clock, RandomGenerator random, MeshView view, Endpoint self, LocalBackend backend,
			Consumer<CallAnswer> refuseWaiting) {
		this.clock = clock;
		this.random = random;
		this.view = view;
		this.self = self;
		this.backend = backend;
		this.refuseWaiting = refuseWaiting;
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
		double perSecond = this.coldPerSecond;
		return (perSecond > 0) ? checkRate(perSecond, starts) : Optional.empty();
	}

	private Optional<CallAnswer> checkRate(double perSecond, boolean starts) {
		boolean cold = this.backend.isCold();
		long waitMillis;
		this.lock.lock();
		try {
			long now = this.clock.millis();
			waitMillis = cold ? this.rateLimit.waitMillis(now, perSecond) : 0;
			if (waitMillis == 0 && starts) {
				this.rateLimit.record(now, perSecond);
			}
		}
		finally {
			this.lock.unlock();
		}
		return (waitMillis > 0) ? Optional.of(coldRefusal(waitMillis, perSecond)) : Optional.empty();
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
		this.coldPerSecond = configuration.flatMap((active) -> active.service(this.self.service()))
			.map(ServiceConfiguration::coldStart)
			.map((cold) -> cold.requestsPerSecond())
			.orElse(0.0);
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
			this.evacuated = false;
		}
	}

}
