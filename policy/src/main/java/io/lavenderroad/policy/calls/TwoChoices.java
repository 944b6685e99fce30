package io.lavenderroad.policy.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Takes the better of two random candidates, in the failure domain of the caller's node
 * while there is room. The score is the load for each slot, scaled by the observed
 * latency and share of errors. Two random choices keep the callers from sending all their
 * calls to one server that looks idle (Mitzenmacher, The Power of Two Choices in
 * Randomized Load Balancing, 2001).
 */
public final class TwoChoices implements BalancingPolicy {

	/**
	 * Name under which the policy is registered.
	 */
	public static final String NAME = "two-choices";

	/**
	 * Weight of the share of errors. Without it a server that fails fast has the lowest
	 * latency and attracts the traffic.
	 */
	private static final double ERROR_PENALTY = 20;

	/**
	 * A local endpoint is passed over when it is this many times slower than a remote
	 * one.
	 */
	private static final double LOCAL_PREFERENCE = 3;

	/**
	 * An endpoint that is more than this many times slower than the fastest one is drawn
	 * less often. With two plain draws from eight, two slow endpoints meet in 1 of 28
	 * calls, and their latency becomes the 99th percentile of all.
	 */
	private static final double TOLERATED_SLOWNESS = 3;

	/**
	 * Attempts to draw an endpoint that its slow start and speed admit.
	 */
	private static final int DRAWS = 8;

	@Override
	public Optional<EndpointLoad> choose(List<EndpointLoad> candidates, BalancingContext context) {
		List<EndpointLoad> local = new ArrayList<>(candidates.size());
		List<EndpointLoad> remote = new ArrayList<>(candidates.size());
		for (EndpointLoad candidate : candidates) {
			if (context.allows(candidate)) {
				boolean near = candidate.endpoint().failureDomain().equals(context.failureDomain());
				(near ? local : remote).add(candidate);
			}
		}
		Latencies latencies = latencies(candidates, context.nowMillis());
		EndpointLoad near = better(local, context, latencies);
		EndpointLoad far = better(remote, context, latencies);
		return Optional.ofNullable(nearFirst(near, far, context, latencies));
	}

	private static EndpointLoad nearFirst(EndpointLoad near, EndpointLoad far, BalancingContext context,
			Latencies latencies) {
		if (near == null || far == null) {
			return (near != null) ? near : far;
		}
		double nearScore = score(near, context.nowMillis(), latencies);
		double farScore = score(far, context.nowMillis(), latencies);
		boolean room = near.load(context.nowMillis()) < Math.max(1, near.endpoint().slots());
		double preference = room ? LOCAL_PREFERENCE : 1;
		return (nearScore <= farScore * preference) ? near : far;
	}

	private static EndpointLoad better(List<EndpointLoad> candidates, BalancingContext context, Latencies latencies) {
		if (candidates.size() < 2) {
			return candidates.isEmpty() ? null : candidates.getFirst();
		}
		int first = draw(candidates, context, latencies, -1);
		int second = draw(candidates, context, latencies, first);
		double firstScore = score(candidates.get(first), context.nowMillis(), latencies);
		double secondScore = score(candidates.get(second), context.nowMillis(), latencies);
		return candidates.get((firstScore <= secondScore) ? first : second);
	}

	private static int draw(List<EndpointLoad> candidates, BalancingContext context, Latencies latencies, int taken) {
		int drawn = -1;
		for (int attempt = 0; attempt < DRAWS; attempt++) {
			drawn = (taken < 0) ? context.random().nextInt(candidates.size())
					: (taken + 1 + context.random().nextInt(candidates.size() - 1)) % candidates.size();
			double latency = candidates.get(drawn).latencyMillis(context.nowMillis());
			double share = candidates.get(drawn).slowStartShare(context.nowMillis());
			if (latency > 0) {
				share *= Math.min(1, TOLERATED_SLOWNESS * latencies.fastest() / latency);
			}
			if (share >= 1 || context.random().nextDouble() < share) {
				return drawn;
			}
		}
		return drawn;
	}

	private static double score(EndpointLoad load, long nowMillis, Latencies latencies) {
		double latency = load.latencyMillis(nowMillis);
		// An endpoint without observations counts as usual, not as infinitely fast.
		double expected = (latency > 0) ? latency : latencies.usual();
		int slots = Math.max(1, load.endpoint().slots());
		return (load.load(nowMillis) + 1.0) / slots * expected * (1 + ERROR_PENALTY * load.errorShare());
	}

	private static Latencies latencies(List<EndpointLoad> candidates, long nowMillis) {
		double sum = 0;
		double fastest = Double.MAX_VALUE;
		int known = 0;
		for (EndpointLoad candidate : candidates) {
			double latency = candidate.latencyMillis(nowMillis);
			if (latency > 0) {
				sum += latency;
				fastest = Math.min(fastest, latency);
				known++;
			}
		}
		return (known > 0) ? new Latencies(sum / known, fastest) : new Latencies(1, 1);
	}

	/**
	 * Latencies of all candidates.
	 *
	 * @param usual mean in milliseconds
	 * @param fastest smallest in milliseconds
	 */
	private record Latencies(double usual, double fastest) {

	}

}
