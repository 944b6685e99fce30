package io.lavenderroad.policy.calls;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Limits how many calls run at once at a backend server that has started or is in
 * trouble, by its answers. Without a restriction, only the slots limit the calls. A
 * restriction begins with one of the events of {@link Cause} and ends when the limit
 * reaches the slots. Each good answer raises the limit by one call, which doubles it in a
 * round trip; after a setback, by a quarter in a round trip. A failure or much too slow
 * answers halve it, at most once in a round trip (compare Chiu and Jain, "Analysis of the
 * Increase and Decrease Algorithms for Congestion Avoidance", 1989). Not thread-safe: the
 * caller holds a lock and passes in clock readings.
 */
public final class Pace {

	/**
	 * Failures in a row, without a good answer between them, that begin a restriction.
	 * Fewer occur at sound servers that lose one of the connections.
	 */
	static final int FAILURE_SERIES = 5;

	/**
	 * Answers in a row with a smoothed slowdown above {@link #FAR_ABOVE} that begin a
	 * restriction.
	 */
	static final int SLOW_SERIES = 8;

	/**
	 * Slowdown against the earlier service time that begins a restriction. It is above
	 * what full slots cause at a sound server.
	 */
	private static final double FAR_ABOVE = 4;

	/**
	 * Slowdown at which the limit of a restricted server falls and does not rise.
	 */
	private static final double TOO_SLOW = 2.5;

	private static final double DECREASE = 0.5;

	/**
	 * Mean increase by a good answer after a setback, in calls. With one call in a round
	 * trip, as in additive increase, servers that needed 2 s were restricted for 10 s in
	 * the simulation, since a restricted server gets few calls.
	 */
	private static final double INCREASE_AFTER_SETBACK = 0.25;

	/**
	 * Slowness alone leaves this share of the slots: the cause may be a service that the
	 * server calls, and a lower limit would only reduce the throughput further.
	 */
	private static final double SHARE_WHEN_SLOW = 0.25;

	/**
	 * Share of the slots that the limit does not exceed while the rate of the server is
	 * limited because it is cold: a few calls a second are no evidence for all slots.
	 */
	private static final double SHARE_WHEN_COLD = 0.25;

	/**
	 * Weight of an answer in the smoothed slowdown. Service times whose logarithms
	 * deviate by 0.8 then exceed {@link #TOO_SLOW} by chance in fewer than 1 of 1,000
	 * answers.
	 */
	private static final double SLOWDOWN_WEIGHT = 0.2;

	/**
	 * Largest slowdown of one answer that counts, so that one very slow answer does not
	 * decide.
	 */
	private static final double MAXIMUM_SLOWDOWN = 10;

	/**
	 * Answers of a route before its service time is compared.
	 */
	private static final int MINIMUM_ANSWERS = 10;

	private static final double BASELINE_WEIGHT = 0.02;

	/**
	 * Weight of slower answers in the earlier service time during a restriction. Lasting
	 * slowness becomes the usual service time after some 100 answers.
	 */
	private static final double RESTRICTED_BASELINE_WEIGHT = 0.01;

	/**
	 * Maximum number of routes with a service time of their own; all others share one.
	 */
	private static final int MAXIMUM_ROUTES = 64;

	private final RandomGenerator random;

	private final Map<String, Baseline> baselines = new HashMap<>();

	private int slots;

	private int running;

	private Cause cause;

	private double limit;

	private boolean hadSetback;

	private boolean held;

	private long reducedMillis = Long.MIN_VALUE;

	private int failuresInRow;

	private int slowInRow;

	/**
	 * When the present series of slow answers began.
	 */
	private long slowSinceMillis;

	private double slowdown = 1;

	/**
	 * Creates a pace without a restriction.
	 * @param slots calls that the server runs at the same time
	 * @param random source of randomness, so that servers do not rise in step
	 */
	public Pace(int slots, RandomGenerator random) {
		this.random = random;
		setSlots(slots);
	}

	/**
	 * Changes the number of slots.
	 * @param newSlots calls that the server runs at the same time
	 */
	public void setSlots(int newSlots) {
		this.slots = Math.max(1, newSlots);
		liftIfFull();
	}

	/**
	 * Sets whether the rate of the server is limited because it is cold. Until the end of
	 * that limit, the restriction does not end.
	 * @param nowHeld whether there is a limit now
	 */
	public void hold(boolean nowHeld) {
		this.held = nowHeld;
	}

	/**
	 * Begins a restriction, or begins it again after another event.
	 * @param event the event
	 * @param nowMillis clock reading in milliseconds; calls that started earlier do not
	 * change the limit
	 */
	public void restrict(Cause event, long nowMillis) {
		boolean returns = event == Cause.COLD || event == Cause.RETURNED;
		this.limit = returns ? 1 : Math.clamp((this.running + 1) * DECREASE, 1, this.slots);
		this.cause = event;
		this.hadSetback = false;
		this.reducedMillis = nowMillis;
		this.failuresInRow = 0;
		this.slowInRow = 0;
		this.slowdown = 1;
		liftIfFull();
	}

	/**
	 * Returns whether as many calls run as the restriction allows.
	 * @return false if another call may start
	 */
	public boolean isFull() {
		return this.cause != null && this.running >= (int) this.limit;
	}

	/**
	 * Counts a call that starts. {@link #ended} must be called exactly once for it.
	 */
	public void started() {
		this.running++;
	}

	/**
	 * Records the end of a call.
	 * @param route name of the route
	 * @param startMillis clock reading at the start of the call in milliseconds
	 * @param nowMillis clock reading in milliseconds
	 * @param outcome what the call shows about the server
	 * @param serviceMillis how long the call ran, at the usual speed of the VM
	 */
	public void ended(String route, long startMillis, long nowMillis, Outcome outcome, double serviceMillis) {
		this.running--;
		if (outcome == Outcome.FAILED) {
			failed(startMillis, nowMillis);
		}
		else if (outcome == Outcome.OVERDUE) {
			// A call that had little time left shows nothing.
			if (baseline(route).slowdown(serviceMillis).orElse(FAR_ABOVE) >= TOO_SLOW) {
				failed(startMillis, nowMillis);
			}
		}
		else if (outcome == Outcome.ANSWERED) {
			answered(route, startMillis, nowMillis, serviceMillis);
		}
	}

	/**
	 * Returns the share of the slots that calls may use.
	 * @return above 0, at most 1
	 */
	public double share() {
		return (this.cause != null) ? Math.min(1, this.limit / this.slots) : 1;
	}

	/**
	 * Returns the event that began the present restriction.
	 * @return the event, or empty without a restriction
	 */
	public Optional<Cause> cause() {
		return Optional.ofNullable(this.cause);
	}

	/**
	 * Returns how many calls may run at once.
	 * @return at least 1
	 */
	public int limit() {
		return (this.cause != null) ? (int) this.limit : this.slots;
	}

	private void failed(long startMillis, long nowMillis) {
		this.failuresInRow++;
		if (this.cause != null) {
			reduce(startMillis, nowMillis, 1);
		}
		else if (this.failuresInRow >= FAILURE_SERIES) {
			restrict(Cause.FAILURES, nowMillis);
		}
	}

	private void answered(String route, long startMillis, long nowMillis, double serviceMillis) {
		this.failuresInRow = 0;
		Baseline baseline = baseline(route);
		double measured = Math.min(MAXIMUM_SLOWDOWN, baseline.slowdown(serviceMillis).orElse(this.slowdown));
		baseline.record(serviceMillis, this.cause != null);
		if (this.cause != null && startMillis < this.reducedMillis) {
			return;
		}
		this.slowdown += SLOWDOWN_WEIGHT * (measured - this.slowdown);
		if (this.cause == null) {
			countSlow(startMillis, nowMillis, measured);
		}
		else if (this.slowdown <= TOO_SLOW) {
			raise();
		}
		else if (measured > TOO_SLOW) {
			reduce(startMillis, nowMillis, this.slots * SHARE_WHEN_SLOW);
		}
	}

	// A pause of the server or of this node delays all calls that run during it. Only
	// slow calls that started after the first slow answer show that it lasts.
	private void countSlow(long startMillis, long nowMillis, double measured) {
		if (this.slowdown <= FAR_ABOVE) {
			this.slowInRow = 0;
			return;
		}
		if (this.slowInRow == 0) {
			this.slowSinceMillis = nowMillis;
		}
		this.slowInRow++;
		if (this.slowInRow >= SLOW_SERIES && measured > TOO_SLOW && startMillis >= this.slowSinceMillis) {
			restrict(Cause.SLOW, nowMillis);
		}
	}

	// Calls that started before the last reduction show the effect of the earlier limit.
	private void reduce(long startMillis, long nowMillis, double minimum) {
		if (startMillis >= this.reducedMillis) {
			this.limit = Math.max(1, Math.min(this.limit, Math.max(minimum, this.limit * DECREASE)));
			this.hadSetback = true;
			this.reducedMillis = nowMillis;
		}
	}

	private void raise() {
		this.limit += this.hadSetback ? 2 * INCREASE_AFTER_SETBACK * this.random.nextDouble() : 1;
		liftIfFull();
	}

	private void liftIfFull() {
		if (this.held) {
			this.limit = Math.min(this.limit, Math.max(1, this.slots * SHARE_WHEN_COLD));
		}
		else if (this.limit >= this.slots) {
			this.cause = null;
		}
	}

	private Baseline baseline(String route) {
		Baseline known = this.baselines.get(route);
		return (known != null) ? known : this.baselines
			.computeIfAbsent((this.baselines.size() < MAXIMUM_ROUTES) ? route : "", (name) -> new Baseline());
	}

	/**
	 * Events that begin a restriction.
	 */
	public enum Cause {

		/**
		 * The server states that it is cold, or may be cold after an evacuation.
		 */
		COLD,

		/**
		 * The server announces itself again after silence or refused connections.
		 */
		RETURNED,

		/**
		 * A series of calls failed, or was refused by the server itself.
		 */
		FAILURES,

		/**
		 * The service time is far above its earlier value.
		 */
		SLOW

	}

	/**
	 * What the end of a call shows about the server.
	 */
	public enum Outcome {

		/**
		 * It answered.
		 */
		ANSWERED,

		/**
		 * It refused the call or broke the exchange.
		 */
		FAILED,

		/**
		 * It did not answer before the deadline.
		 */
		OVERDUE,

		/**
		 * Nothing: it was not asked, the caller left, or it answered with an error of the
		 * application, which the version or a called service may cause.
		 */
		NONE

	}

	/**
	 * Usual service time of the calls of a route.
	 */
	private static final class Baseline {

		private int answers;

		private double millis;

		private Optional<Double> slowdown(double serviceMillis) {
			return (this.answers < MINIMUM_ANSWERS || this.millis <= 0) ? Optional.empty()
					: Optional.of(serviceMillis / this.millis);
		}

		private void record(double serviceMillis, boolean restricted) {
			this.answers++;
			double weight = (restricted && serviceMillis > this.millis && this.answers > MINIMUM_ANSWERS)
					? RESTRICTED_BASELINE_WEIGHT : Math.max(BASELINE_WEIGHT, 1.0 / this.answers);
			this.millis += weight * (serviceMillis - this.millis);
		}

	}

}
