package io.lavenderroad.policy.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the better of two random candidates, preferring the failure domain of the node
 * of the caller while it has free slots. The score is the load per slot, scaled by the
 * observed latency and error share. Two random choices prevent callers from sending all
 * their calls to one server that looks idle (Mitzenmacher, The Power of Two Choices in
 * Randomized Load Balancing, 2001).
 */
public final class TwoChoices implements BalancingPolicy {

	/**
	 * Name under which the policy is registered.
	 */
	public static final String NAME = "two-choices";

	/**
	 * Weight of the error share. Without it, a server that fails fast would have the
	 * lowest latency and attract the traffic.
	 */
	private static final double ERROR_PENALTY = 20;

	/**
	 * Ratio of scores above which a remote endpoint is preferred to a local one with free
	 * slots.
	 */
	private static final double LOCAL_PREFERENCE = 3;

	/**
	 * An endpoint whose latency is more than this many times the lowest one is drawn less
	 * often. With two uniform draws from eight endpoints, two slow endpoints are drawn
	 * together in 1 of 28 calls, and their latency becomes the 99th percentile of all
	 * calls.
	 */
	private static final double TOLERATED_SLOWDOWN = 3;

	/**
	 * Maximum number of draws for an endpoint that its pace and latency admit; the last
	 * one drawn is used in any case.
	 */
	private static final int MAXIMUM_DRAWS = 8;

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
		EndpointLoad near = betterOfTwo(local, context, latencies);
		EndpointLoad far = betterOfTwo(remote, context, latencies);
		return Optional.ofNullable(preferNear(near, far, context, latencies));
	}

	private static EndpointLoad preferNear(EndpointLoad near, EndpointLoad far, BalancingContext context,
			Latencies latencies) {
		if (near == null || far == null) {
			return (near != null) ? near : far;
		}
		double nearScore = score(near, context.nowMillis(), latencies);
		double farScore = score(far, context.nowMillis(), latencies);
		boolean hasFreeSlot = near.load(context.nowMillis()) < Math.max(1, near.endpoint().slots());
		double preference = hasFreeSlot ? LOCAL_PREFERENCE : 1;
		return (nearScore <= farScore * preference) ? near : far;
	}

	private static EndpointLoad betterOfTwo(List<EndpointLoad> candidates, BalancingContext context,
			Latencies latencies) {
		if (candidates.size() < 2) {
			return candidates.isEmpty() ? null : candidates.getFirst();
		}
		int first = draw(candidates, context, latencies, -1);
		int second = draw(candidates, context, latencies, first);
		double firstScore = score(candidates.get(first), context.nowMillis(), latencies);
		double secondScore = score(candidates.get(second), context.nowMillis(), latencies);
		return candidates.get((firstScore <= secondScore) ? first : second);
	}

	private static int draw(List<EndpointLoad> candidates, BalancingContext context, Latencies latencies,
			int excluded) {
		int drawn = -1;
		for (int attempt = 0; attempt < MAXIMUM_DRAWS; attempt++) {
			drawn = (excluded < 0) ? context.random().nextInt(candidates.size())
					: (excluded + 1 + context.random().nextInt(candidates.size() - 1)) % candidates.size();
			double latency = candidates.get(drawn).latencyMillis(context.nowMillis());
			double share = candidates.get(drawn).paceShare(context.nowMillis());
			if (latency > 0) {
				share *= Math.min(1, TOLERATED_SLOWDOWN * latencies.fastest() / latency);
			}
			if (share >= 1 || context.random().nextDouble() < share) {
				return drawn;
			}
		}
		return drawn;
	}

	private static double score(EndpointLoad load, long nowMillis, Latencies latencies) {
		double latency = load.latencyMillis(nowMillis);
		// An endpoint without observations gets the average latency, not zero.
		double expected = (latency > 0) ? latency : latencies.average();
		int slots = Math.max(1, load.endpoint().slots());
		return (load.load(nowMillis) + 1.0) / slots * expected * (1 + ERROR_PENALTY * load.errorShare(nowMillis));
	}

	private static Latencies latencies(List<EndpointLoad> candidates, long nowMillis) {
		double sum = 0;
		double fastest = Double.MAX_VALUE;
		int observed = 0;
		for (EndpointLoad candidate : candidates) {
			double latency = candidate.latencyMillis(nowMillis);
			if (latency > 0) {
				sum += latency;
				fastest = Math.min(fastest, latency);
				observed++;
			}
		}
		return (observed > 0) ? new Latencies(sum / observed, fastest) : new Latencies(1, 1);
	}

	/**
	 * Latencies of all candidates.
	 *
	 * @param average mean in milliseconds
	 * @param fastest minimum in milliseconds
	 */
	private record Latencies(double average, double fastest) {

	}

}
