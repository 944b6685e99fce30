package io.lavenderroad.policy.moves;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.Observations;

/**
 * Compares a new version with an old one on the same routes over the same time. The
 * comparison is anytime-valid: its error probability holds no matter how often the result
 * is read. Immutable.
 *
 * <p>
 * For one window and route let the old version have {@code n0} calls and {@code k0}
 * events, the new one {@code n1} and {@code k1}. Under the null hypothesis the event
 * share of the new version is at most {@code ratio * p + slack}, where {@code p} is the
 * unknown share of the old version in this window. The factor
 * {@code a^k1 * b^k0 * exp(-n1 * slack * (a - 1))} with {@code a > 1} and
 * {@code n1 * ratio * (a - 1) = n0 * (1 - b)} then has an expectation of at most one for
 * every {@code p}, so that a disturbance that affects both versions at the same time
 * cancels out. It is the conditional likelihood ratio of "this event happened on the new
 * version", as in the comparison of two Poisson rates given their sum.
 *
 * <p>
 * The product of factors over windows is a test supermartingale, and by Ville's
 * inequality its mixture exceeds {@code 1 / alpha} with probability at most {@code alpha}
 * over any number of looks. The mixture covers signals, routes, effect sizes and the
 * window in which the fault began, so that a fault is also detected if it begins after a
 * long time without faults. Sources: H. Robbins, "Statistical methods related to the law
 * of the iterated logarithm", 1970 (method of mixtures); G. Shafer, "Testing by betting",
 * 2021; A. Ramdas et al., "Game-theoretic statistics and safe anytime-valid inference",
 * 2023; J. Shin, A. Ramdas, A. Rinaldo, "E-detectors", 2023 (mixture over the change
 * point).
 */
public final class SequentialComparison {

	/**
	 * Weight in the mixture of a fault that begins in the first window, for versions that
	 * are bad from the start.
	 */
	static final double START_WEIGHT = 0.25;

	/**
	 * Weight in the mixture of all routes together; the rest is divided among the routes.
	 */
	static final double POOLED_WEIGHT = 0.5;

	/**
	 * Effect sizes: factors by which the event share may exceed the tolerated one.
	 */
	static final double[] EFFECT_SIZES = { 2, 6, 30, 300 };

	/**
	 * Error share that is tolerated in addition while demand exceeds capacity, since
	 * timeouts are then caused by the demand.
	 */
	private static final double OVERLOAD_SLACK = 0.3;

	/**
	 * Minimum number of calls of the old version on a route before its latency bounds are
	 * used; with fewer calls the 95th percentile is too noisy.
	 */
	private static final long LATENCY_BASELINE_CALLS = 100;

	private static final double MAXIMUM_WEALTH = 1e200;

	private final double alpha;

	private final List<String> routes;

	private final double horizonSeconds;

	private final double[][] wealth;

	private final double unspent;

	private final Map<String, Observations> baseline;

	private SequentialComparison(double alpha, List<String> routes, double horizonSeconds, double[][] wealth,
			double unspent, Map<String, Observations> baseline) {
		this.alpha = alpha;
		this.routes = routes;
		this.horizonSeconds = horizonSeconds;
		this.wealth = wealth;
		this.unspent = unspent;
		this.baseline = baseline;
	}

	/**
	 * Starts a comparison.
	 * @param alpha maximum probability of withdrawing a good version, over all looks
	 * @param routes names of the routes that are also compared individually
	 * @param horizonSeconds time within which a late fault should be detected, in seconds
	 * @return a comparison without evidence
	 */
	public static SequentialComparison start(double alpha, List<String> routes, double horizonSeconds) {
		double[][] wealth = new double[routes.size() + 1][Signal.values().length * EFFECT_SIZES.length];
		for (double[] scope : wealth) {
			Arrays.fill(scope, START_WEIGHT);
		}
		return new SequentialComparison(alpha, List.copyOf(routes), Math.max(1, horizonSeconds), wealth,
				1 - START_WEIGHT, Map.of());
	}

	/**
	 * Adds a window.
	 * @param window observations by route, made at a constant share
	 * @param conditions conditions during the window
	 * @param recordBaseline whether the old version still carries a representative load,
	 * so that its latencies and refusals are recorded as a baseline for the watch phase
	 * @return the comparison including this window
	 */
	public SequentialComparison plus(Map<String, VersionPair> window, WindowConditions conditions,
			boolean recordBaseline) {
		double start = this.unspent * Math.min(1, conditions.seconds() / this.horizonSeconds);
		double[][] next = new double[this.wealth.length][];
		double[][] gains = gains(window, conditions);
		double part = Math.min(1, conditions.seconds());
		for (int scope = 0; scope < next.length; scope++) {
			next[scope] = new double[this.wealth[scope].length];
			for (int cell = 0; cell < next[scope].length; cell++) {
				double maximumGain = part * Signal.values()[cell / EFFECT_SIZES.length].maximumGain();
				double gain = Math.exp(Math.min(maximumGain, gains[scope][cell]));
				next[scope][cell] = Math.min(MAXIMUM_WEALTH, (this.wealth[scope][cell] + start) * gain);
			}
		}
		return new SequentialComparison(this.alpha, this.routes, this.horizonSeconds, next, this.unspent - start,
				recordBaseline ? withBaseline(window) : this.baseline);
	}

	/**
	 * Returns the evidence against the new version.
	 * @return the e-value; its expectation is at most one for a tolerated version
	 */
	public double evidenceAgainst() {
		double sum = 0;
		for (int scope = 0; scope < this.wealth.length; scope++) {
			for (int cell = 0; cell < this.wealth[scope].length; cell++) {
				sum += weight(scope, cell) * (this.wealth[scope][cell] + this.unspent);
			}
		}
		return sum;
	}

	/**
	 * Returns whether the new version is bad.
	 * @return true if the evidence reaches the threshold for the given false-alarm rate
	 */
	public boolean isBad() {
		return evidenceAgainst() >= 1 / this.alpha;
	}

	/**
	 * Returns the signal with the strongest evidence against the new version.
	 * @return the signal
	 */
	public Signal strongestSignal() {
		return Signal.values()[strongest()[1] / EFFECT_SIZES.length];
	}

	/**
	 * Returns the route with the strongest evidence against the new version.
	 * @return name of the route, empty for all routes together
	 */
	public String strongestRoute() {
		int scope = strongest()[0];
		return (scope == 0) ? "" : this.routes.get(scope - 1);
	}

	/**
	 * Counts the events of a signal.
	 * @param signal the signal
	 * @param route the route, whose recorded latencies determine the bounds
	 * @param observations observations of either version
	 * @return the number of events
	 */
	long events(Signal signal, String route, Observations observations) {
		return switch (signal) {
			case ERRORS -> observations.errors();
			case REFUSALS -> observations.refusals();
			case SLOW -> slowerThanBaseline(route, 0.5, observations.latencies());
			case VERY_SLOW -> slowerThanBaseline(route, 0.95, observations.latencies());
		};
	}

	static long trials(Signal signal, Observations observations) {
		return switch (signal) {
			case ERRORS -> observations.calls();
			case REFUSALS -> observations.calls() + observations.refusals();
			case SLOW, VERY_SLOW -> observations.latencies().total();
		};
	}

	private double[][] gains(Map<String, VersionPair> window, WindowConditions conditions) {
		double[][] gains = new double[this.wealth.length][this.wealth[0].length];
		window.forEach((route, pair) -> {
			int scope = this.routes.indexOf(route) + 1;
			for (Signal signal : Signal.values()) {
				addGains(gains, scope, signal, route, pair, conditions);
			}
		});
		return gains;
	}

	private void addGains(double[][] gains, int scope, Signal signal, String route, VersionPair pair,
			WindowConditions conditions) {
		double newTrials = trials(signal, pair.newVersion());
		double oldTrials = trials(signal, pair.oldVersion());
		if (newTrials == 0 || oldTrials == 0 || isExcluded(signal, route, conditions)) {
			return;
		}
		double newEvents = events(signal, route, pair.newVersion());
		double oldEvents = Math.max(events(signal, route, pair.oldVersion()), oldTrials * baselineShare(signal, route));
		double slack = signal.slack() + (conditions.overloaded() ? OVERLOAD_SLACK : 0);
		for (int effect = 0; effect < EFFECT_SIZES.length; effect++) {
			Bet bet = Bet.of(signal.ratio(), EFFECT_SIZES[effect], newTrials / oldTrials);
			double gain = newEvents * bet.logNew() + oldEvents * bet.logOld()
					- newTrials * slack * Math.expm1(bet.logNew());
			int cell = signal.ordinal() * EFFECT_SIZES.length + effect;
			gains[0][cell] += gain;
			if (scope > 0) {
				gains[scope][cell] += gain;
			}
		}
	}

	private boolean isExcluded(Signal signal, String route, WindowConditions conditions) {
		if (signal == Signal.ERRORS) {
			return false;
		}
		if (conditions.overloaded()) {
			return true;
		}
		return signal.comparesLatency() && (conditions.cold()
				|| this.baseline.getOrDefault(route, Observations.NONE).calls() < LATENCY_BASELINE_CALLS);
	}

	// During the watch phase the old version has little load and is faster than before.
	// Counting at least its recorded share compares the versions at equal load. Errors
	// are only compared with those of the same time.
	private double baselineShare(Signal signal, String route) {
		Observations recorded = this.baseline.getOrDefault(route, Observations.NONE);
		if (signal == Signal.ERRORS || trials(signal, recorded) == 0) {
			return 0;
		}
		return (double) events(signal, route, recorded) / trials(signal, recorded);
	}

	private long slowerThanBaseline(String route, double quantile, LatencyHistogram latencies) {
		LatencyHistogram recorded = this.baseline.getOrDefault(route, Observations.NONE).latencies();
		// Start one bucket above the quantile, so that rounding does not count as slow.
		int bound = LatencyHistogram.bucketOf(recorded.quantileMillis(quantile) * 0.999) + 1;
		long[] counts = latencies.counts();
		long sum = 0;
		for (int bucket = bound + 1; bucket < counts.length; bucket++) {
			sum += counts[bucket];
		}
		return sum;
	}

	private Map<String, Observations> withBaseline(Map<String, VersionPair> window) {
		Map<String, Observations> recorded = new HashMap<>(this.baseline);
		window.forEach((route, pair) -> recorded.merge(route, pair.oldVersion(), Observations::plus));
		return recorded;
	}

	private double weight(int scope, int cell) {
		int routeCount = this.routes.size();
		double scopeWeight = (routeCount == 0) ? 1 : (scope == 0) ? POOLED_WEIGHT : (1 - POOLED_WEIGHT) / routeCount;
		return scopeWeight * Signal.values()[cell / EFFECT_SIZES.length].weight() / EFFECT_SIZES.length;
	}

	private int[] strongest() {
		int[] best = { 0, 0 };
		double maximum = -1;
		for (int scope = 0; scope < this.wealth.length; scope++) {
			for (int cell = 0; cell < this.wealth[scope].length; cell++) {
				double part = weight(scope, cell) * this.wealth[scope][cell];
				if (part > maximum) {
					maximum = part;
					best = new int[] { scope, cell };
				}
			}
		}
		return best;
	}

	/**
	 * Logarithmic factors for one event of either version.
	 *
	 * @param logNew factor for an event on the new version, positive
	 * @param logOld factor for an event on the old version, negative
	 */
	record Bet(double logNew, double logOld) {

		/**
		 * Creates the bet for an effect size.
		 * @param ratio tolerated ratio of event shares
		 * @param effect suspected multiple of the tolerated ratio
		 * @param callRatio calls of the new version per call of the old one
		 * @return the bet
		 */
		static Bet of(double ratio, double effect, double callRatio) {
			double tolerated = ratio * callRatio / (1 + ratio * callRatio);
			double suspected = ratio * effect * callRatio / (1 + ratio * effect * callRatio);
			return new Bet(Math.log(suspected / tolerated), Math.log((1 - suspected) / (1 - tolerated)));
		}

	}

}
