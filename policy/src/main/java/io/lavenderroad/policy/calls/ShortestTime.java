package io.lavenderroad.policy.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Chooses an endpoint with a short expected latency. It handles services whose servers
 * differ widely in speed and are partly idle: a slow server gets no calls while faster
 * ones have free capacity. Calls are distributed over all endpoints whose expected
 * latency is close to the shortest one, weighted by their free capacity, so that callers
 * with the same information do not all choose the same endpoint. Calls stay in their
 * failure domain while an endpoint there is expected to answer early enough for the
 * caller, also if a remote one is faster: traffic between failure domains is expensive.
 */
public final class ShortestTime implements BalancingPolicy {

	/**
	 * Name under which the policy is registered.
	 */
	public static final String NAME = "shortest-time";

	/**
	 * Weight of the error share. Without it, a server that fails fast would have the
	 * shortest expected latency and attract the traffic.
	 */
	private static final double ERROR_PENALTY = 20;

	/**
	 * Factor on the expected latency of an endpoint in another failure domain, since
	 * traffic between failure domains is expensive.
	 */
	private static final double REMOTE_PENALTY = 1.8;

	/**
	 * Endpoints whose expected latency is at most this many times the shortest one share
	 * the calls.
	 */
	private static final double TOLERATED_SLOWDOWN = 1.25;

	/**
	 * Slot utilization up to which a server runs at full speed.
	 */
	private static final double FULL_SPEED_UTILIZATION = 0.7;

	/**
	 * Slowdown per unit of slot utilization above {@link #FULL_SPEED_UTILIZATION}.
	 */
	private static final double UTILIZATION_PENALTY = 2;

	/**
	 * Factor on the reported pace of a server. The report is a round trip old, in which
	 * the limit of a sound server doubles.
	 */
	private static final double PACE_AHEAD = 2;

	/**
	 * Factor on the expected latency of a cold server whose share follows the clock.
	 */
	private static final double COLD_PENALTY = 2;

	/**
	 * Minimum share of its slots that counts as free for an endpoint.
	 */
	private static final double MINIMUM_FREE_SHARE = 0.05;

	@Override
	public Optional<EndpointLoad> choose(List<EndpointLoad> candidates, BalancingContext context) {
		List<Scored> scored = new ArrayList<>(candidates.size());
		double average = averageServiceMillis(candidates, context.nowMillis());
		double shortest = shortestServiceMillis(candidates, context.nowMillis());
		double best = Double.MAX_VALUE;
		for (EndpointLoad candidate : candidates) {
			if (context.allows(candidate)) {
				Scored entry = score(candidate, context, average, shortest);
				scored.add(entry);
				best = Math.min(best, entry.millis());
			}
		}
		double bestLocal = scored.stream().filter(Scored::local).mapToDouble(Scored::millis).min().orElse(best);
		if (bestLocal > best && bestLocal <= context.localLatencyMillis()) {
			scored.removeIf((entry) -> !entry.local());
			best = bestLocal;
		}
		double limit = best * TOLERATED_SLOWDOWN;
		scored.removeIf((entry) -> entry.millis() > limit);
		return drawByFreeCapacity(scored, context);
	}

	private static Optional<EndpointLoad> drawByFreeCapacity(List<Scored> scored, BalancingContext context) {
		double sum = scored.stream().mapToDouble(Scored::freeCapacity).sum();
		double point = context.random().nextDouble() * sum;
		for (Scored entry : scored) {
			point -= entry.freeCapacity();
			if (point < 0) {
				return Optional.of(entry.endpoint());
			}
		}
		return scored.isEmpty() ? Optional.empty() : Optional.of(scored.getLast().endpoint());
	}

	private static Scored score(EndpointLoad load, BalancingContext context, double average, double shortest) {
		double observed = load.serviceMillis(context.nowMillis());
		double service = ((observed > 0) ? observed : average) * load.slowness(context.nowMillis());
		int slots = Math.max(1, load.endpoint().slots());
		int calls = load.load(context.nowMillis());
		double share = load.paceShare(context.nowMillis());
		boolean local = load.endpoint().failureDomain().equals(context.failureDomain());
		double factor = (1 + ERROR_PENALTY * load.errorShare(context.nowMillis())) * (local ? 1 : REMOTE_PENALTY);
		if (!load.isPaced()) {
			double utilization = (calls + 1.0) / slots;
			double millis = loadedMillis(service, utilization) * factor * ((share < 1) ? COLD_PENALTY : 1);
			return new Scored(load, local, millis, freeShare(utilization) * slots * share / service);
		}
		// An endpoint at the limit of its pace has no free slot; below it, a restricted
		// endpoint must get calls, since only answers raise its pace.
		boolean full = calls >= Math.max(1, slots * share);
		double utilization = (calls + 1.0) / (full ? Math.max(1, slots * share) : slots);
		// The service time of a restricted server stays that of its trouble until further
		// calls show another one. While it is below half of its pace, the service time
		// reduces its weight and does not exclude it.
		boolean tried = share < 1 && calls + 1 <= slots * share / 2;
		double compared = tried ? Math.min(service, shortest) : service;
		return new Scored(load, local, loadedMillis(compared, utilization) * factor,
				freeShare(utilization) * slots * Math.min(1, PACE_AHEAD * share) / service);
	}

	private static double loadedMillis(double service, double utilization) {
		return service * (1 + UTILIZATION_PENALTY * Math.max(0, utilization - FULL_SPEED_UTILIZATION));
	}

	private static double freeShare(double utilization) {
		return Math.max(MINIMUM_FREE_SHARE, 1 - utilization);
	}

	// An endpoint without observations gets the average service time, not zero.
	private static double averageServiceMillis(List<EndpointLoad> candidates, long nowMillis) {
		return candidates.stream()
			.mapToDouble((candidate) -> candidate.serviceMillis(nowMillis))
			.filter((millis) -> millis > 0)
			.average()
			.orElse(1);
	}

	private static double shortestServiceMillis(List<EndpointLoad> candidates, long nowMillis) {
		return candidates.stream()
			.mapToDouble((candidate) -> candidate.serviceMillis(nowMillis))
			.filter((millis) -> millis > 0)
			.min()
			.orElse(1);
	}

	/**
	 * An endpoint that may get the call.
	 *
	 * @param endpoint the endpoint
	 * @param local whether it is in the failure domain of the caller
	 * @param millis expected latency of the call
	 * @param freeCapacity free capacity of the endpoint, in calls per millisecond
	 */
	private record Scored(EndpointLoad endpoint, boolean local, double millis, double freeCapacity) {

	}

}
