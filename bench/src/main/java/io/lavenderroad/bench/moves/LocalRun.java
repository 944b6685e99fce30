package io.lavenderroad.bench.moves;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Observations;
import io.lavenderroad.model.ThinEvidence;
import io.lavenderroad.policy.moves.LocalComparison;
import io.lavenderroad.policy.moves.WindowConditions;

/**
 * The comparison of one node over its own calls.
 */
final class LocalRun {

	private static final String SERVICE = "service";

	private static final String ROUTE = "read";

	private static final double MEDIAN_MILLIS = 20;

	private static final double LATENCY_SIGMA = 0.5;

	private static final double USUAL_ERRORS = 0.003;

	private LocalRun() {
	}

	/**
	 * Runs one node.
	 * @param seed seed of the outcomes
	 * @param callsPerSecond calls of the node to the service
	 * @param share share of the new version in 1/10,000
	 * @param newErrors error share of the new version on top of the usual one
	 * @param seconds length of the run; a dependency fails for a third of it
	 * @return seconds until the node stops sending to the new version, -1 for never
	 */
	static int secondsUntilStop(long seed, double callsPerSecond, int share, double newErrors, int seconds) {
		Draws draws = new Draws(new SplittableRandom(seed));
		MoveParameters move = new MoveParameters("move", "v1", "v2", 1_800_000, ThinEvidence.HOLD, "sequential");
		LocalComparison comparison = LocalComparison.start(SERVICE, move, List.of(ROUTE), 0);
		WindowConditions second = new WindowConditions(1, false, false);
		for (int now = 0; now < seconds; now++) {
			double common = USUAL_ERRORS + ((newErrors == 0 && now % 30 < 10) ? 0.3 : 0);
			long calls = draws.poisson(callsPerSecond);
			long newCalls = draws.binomial(calls, share / 10_000.0);
			Map<ObservationKey, Observations> window = new HashMap<>();
			window.put(new ObservationKey(SERVICE, ROUTE, "v1"), outcome(draws, calls - newCalls, common));
			window.put(new ObservationKey(SERVICE, ROUTE, "v2"), outcome(draws, newCalls, common + newErrors));
			comparison = comparison.plus(window, second, share);
			if (comparison.shouldStop()) {
				return now + 1;
			}
		}
		return -1;
	}

	private static Observations outcome(Draws draws, long calls, double errorShare) {
		return new Observations(calls, draws.binomial(calls, Math.min(1, errorShare)), 0,
				draws.latencies(calls, MEDIAN_MILLIS, LATENCY_SIGMA));
	}

}
