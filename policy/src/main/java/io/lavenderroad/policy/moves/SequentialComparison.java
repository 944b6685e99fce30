package io.lavenderroad.policy.moves;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.Observations;

/**
 * Compares a new version with an old one on the same routes over the same time, valid at
 * any time of looking. Immutable.
 *
 * <p>
 * For one window and route let the old version have {@code n0} calls and {@code k0}
 * events, the new one {@code n1} and {@code k1}. Under the null hypothesis the event
 * share of the new version is at most {@code ratio * p + slack}, where {@code p} is the
 * unknown share of the old version in this window. The factor
 * {@code a^k1 * b^k0 * exp(-n1 * slack * (a - 1))} with {@code a > 1} and
 * {@code n1 * ratio * (a - 1) = n0 * (1 - b)} then has an expectation of at most one for
 * every {@code p}, so that whatever hits both versions at the same time cancels out. It
 * is the conditional likelihood ratio of "this event happened on the new version", as in
 * the comparison of two Poisson rates given their sum.
 *
 * <p>
 * The product of factors over windows is a test supermartingale, and by Ville's
 * inequality its mixture exceeds {@code 1 / alpha} with probability at most {@code alpha}
 * over any number of looks. Mixed are signals, routes, effect sizes and, so that a late
 * fault is found after a long good time, the window in which the fault began. Sources: H.
 * Robbins, "Statistical methods related to the law of the iterated logarithm", 1970
 * (method of mixtures); G. Shafer, "Testing by betting", 2021; A. Ramdas et al.,
 * "Game-theoretic statistics and safe anytime-valid inference", 2023; J. Shin, A. Ramdas,
 * A. Rinaldo, "E-detectors", 2023 (mixture over the change point).
 */
public final class SequentialComparison {

	/**
	 * Part of the mixture that starts at the first window, for versions bad at once.
	 */
	static final double START_WEIGHT = 0.25;

	/**
	 * Part of the mixture on all routes together; the rest is divided among the routes.
	 */
	static final double POOLED_WEIGHT = 0.5;

	/**
	 * Factors by which an event share may exceed the tolerated one, an effect size each.
	 */
	static final double[] EFFECTS = { 2, 6, 30, 300 };

	/**
	 * Error share tolerated on top of the usual while demand exceeds capacity, when
	 * time-outs are the fault of the demand.
	 */
	private static final double OVERLOAD_SLACK = 0.3;

	/**
	 * Old calls needed on a route before its latency bounds are used; with fewer the 95th
	 * percentile is a matter of chance.
	 */
	private static final long LATENCY_BASELINE_CALLS = 100;

	private static final double LARGEST_WEALTH = 1e200;

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
	 * @param alpha largest probability of withdrawing a good version, over all looks
	 * @param routes names of the routes that are also compared one by one
	 * @param horizonSeconds time within which a late fault should be found, in seconds
	 * @return a comparison without evidence
	 */
	public static SequentialComparison start(double alpha, List<String> routes, double horizonSeconds) {
		double[][] wealth = new double[routes.size() + 1][Signal.values().length * EFFECTS.length];
		for (double[] scope : wealth) {
			Arrays.fill(scope, START_WEIGHT);
		}
		return new SequentialComparison(alpha, List.copyOf(routes), Math.max(1, horizonSeconds), wealth,
				1 - START_WEIGHT, Map.of());
	}

	/**
	 * Adds a window.
	 * @param window observations by route, made at the same share throughout
	 * @param conditions what held during the window
	 * @param recordBaseline whether the old version still carries a usual load, so that
	 * its latencies and refusals are recorded as a baseline for the watch
	 * @return the comparison with this window
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
				double limit = part * Signal.values()[cell / EFFECTS.length].limit();
				double gain = Math.exp(Math.min(limit, gains[scope][cell]));
				next[scope][cell] = Math.min(LARGEST_WEALTH, (this.wealth[scope][cell] + start) * gain);
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
	 * Tells whether the new version is bad.
	 * @return true if the evidence reaches the bound of the stated false-alarm rate
	 */
	public boolean isBad() {
		return evidenceAgainst() >= 1 / this.alpha;
	}

	/**
	 * Returns the signal that speaks loudest against the new version.
	 * @return the signal
	 */
	public Signal strongestSignal() {
		return Signal.values()[strongest()[1] / EFFECTS.length];
	}

	/**
	 * Returns the route that speaks loudest against the new version.
	 * @return name of the route, empty for all routes together
	 */
	public String strongestRoute() {
		int scope = strongest()[0];
		return (scope == 0) ? "" : this.routes.get(scope - 1);
	}

	/**
	 * Counts the events of a signal.
	 * @param signal the signal
	 * @param route the route, whose recorded latencies give the bounds
	 * @param observations observations of either version
	 * @return the number of events
	 */
	long events(Signal signal, String route, Observations observations) {
		return switch (signal) {
			case ERRORS -> observations.errors();
			case REFUSALS -> observations.refusals();
			case SLOW -> slower(route, 0.5, observations.latencies());
			case VERY_SLOW -> slower(route, 0.95, observations.latencies());
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
		for (int effect = 0; effect < EFFECTS.length; effect++) {
			Bet bet = Bet.of(signal.ratio(), EFFECTS[effect], newTrials / oldTrials);
			double gain = newEvents * bet.logNew() + oldEvents * bet.logOld()
					- newTrials * slack * Math.expm1(bet.logNew());
			int cell = signal.ordinal() * EFFECTS.length + effect;
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

	// During the watch the old version has little load and is faster than it was.
	// Counting
	// at least its recorded share keeps the comparison at equal load. Errors are compared
	// with the same time only.
	private double baselineShare(Signal signal, String route) {
		Observations recorded = this.baseline.getOrDefault(route, Observations.NONE);
		if (signal == Signal.ERRORS || trials(signal, recorded) == 0) {
			return 0;
		}
		return (double) events(signal, route, recorded) / trials(signal, recorded);
	}

	private long slower(String route, double quantile, LatencyHistogram latencies) {
		LatencyHistogram recorded = this.baseline.getOrDefault(route, Observations.NONE).latencies();
		// One bucket above the quantile: a difference of rounding is not a slowdown.
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
		return scopeWeight * Signal.values()[cell / EFFECTS.length].weight() / EFFECTS.length;
	}

	private int[] strongest() {
		int[] best = { 0, 0 };
		double most = -1;
		for (int scope = 0; scope < this.wealth.length; scope++) {
			for (int cell = 0; cell < this.wealth[scope].length; cell++) {
				double part = weight(scope, cell) * this.wealth[scope][cell];
				if (part > most) {
					most = part;
					best = new int[] { scope, cell };
				}
			}
		}
		return best;
	}

	/**
	 * Logarithms of the factors for one event of either version.
	 *
	 * @param logNew factor for an event on the new version, positive
	 * @param logOld factor for an event on the old version, negative
	 */
	record Bet(double logNew, double logOld) {

		/**
		 * Creates the bet for an effect size.
		 * @param ratio tolerated ratio of event shares
		 * @param effect how many times the tolerated ratio is suspected
		 * @param callRatio calls of the new version for each call of the old one
		 * @return the bet
		 */
		static Bet of(double ratio, double effect, double callRatio) {
			double tolerated = ratio * callRatio / (1 + ratio * callRatio);
			double suspected = ratio * effect * callRatio / (1 + ratio * effect * callRatio);
			return new Bet(Math.log(suspected / tolerated), Math.log((1 - suspected) / (1 - tolerated)));
		}

	}

}
