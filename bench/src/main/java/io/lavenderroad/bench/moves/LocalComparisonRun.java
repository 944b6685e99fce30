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
 * Simulates the local comparison of two versions that one node makes from its own calls.
 */
final class LocalComparisonRun {

	private static final String SERVICE = "service";

	private static final String ROUTE = "read";

	private static final double MEDIAN_MILLIS = 20;

	private static final double LATENCY_SIGMA = 0.5;

	private static final double BASE_ERROR_SHARE = 0.003;

	private LocalComparisonRun() {
	}

	/**
	 * Simulates one node.
	 * @param seed seed of the sampled outcomes
	 * @param callsPerSecond calls per second of the node to the service
	 * @param share share of the new version in 1/10,000
	 * @param newErrors additional error share of the new version; with 0, a dependency of
	 * both versions fails for a third of the run
	 * @param seconds length of the run in seconds
	 * @return seconds until the node stops sending to the new version, -1 if it never
	 * does
	 */
	static int secondsUntilStop(long seed, double callsPerSecond, int share, double newErrors, int seconds) {
		OutcomeSampler sampler = new OutcomeSampler(new SplittableRandom(seed));
		MoveParameters move = new MoveParameters("move", "v1", "v2", 1_800_000, ThinEvidence.HOLD, "sequential");
		LocalComparison comparison = LocalComparison.start(SERVICE, move, List.of(ROUTE), 0);
		WindowConditions oneSecond = new WindowConditions(1, false, false);
		for (int now = 0; now < seconds; now++) {
			double commonErrors = BASE_ERROR_SHARE + ((newErrors == 0 && now % 30 < 10) ? 0.3 : 0);
			long calls = sampler.poisson(callsPerSecond);
			long newCalls = sampler.binomial(calls, share / 10_000.0);
			Map<ObservationKey, Observations> window = new HashMap<>();
			window.put(new ObservationKey(SERVICE, ROUTE, "v1"), outcome(sampler, calls - newCalls, commonErrors));
			window.put(new ObservationKey(SERVICE, ROUTE, "v2"), outcome(sampler, newCalls, commonErrors + newErrors));
			comparison = comparison.plus(window, oneSecond, share);
			if (comparison.shouldStop()) {
				return now + 1;
			}
		}
		return -1;
	}

	private static Observations outcome(OutcomeSampler sampler, long calls, double errorShare) {
		return new Observations(calls, sampler.binomial(calls, Math.min(1, errorShare)), 0,
				sampler.latencies(calls, MEDIAN_MILLIS, LATENCY_SIGMA));
	}

}
