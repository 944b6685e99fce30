package io.lavenderroad.policy.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Takes an endpoint at which the call is expected to end soonest. The load that it
 * answers is a service whose servers differ widely in speed and are partly idle: a slow
 * server is left alone while faster ones have room. Calls are spread over all endpoints
 * that are nearly as good as the best, by the work that each can still take, so that
 * callers who know the same do not all choose the same one.
 */
public final class ShortestTime implements BalancingPolicy {

	/**
	 * Name under which the policy is registered.
	 */
	public static final String NAME = "shortest-time";

	/**
	 * Weight of the share of errors. Without it a server that fails fast has the shortest
	 * time and attracts the traffic.
	 */
	private static final double ERROR_PENALTY = 20;

	/**
	 * An endpoint in another failure domain counts as that much slower, since traffic
	 * between failure domains is dear.
	 */
	private static final double REMOTE_PENALTY = 1.8;

	/**
	 * Endpoints up to that many times slower than the best share the calls.
	 */
	private static final double NEARLY_AS_GOOD = 1.25;

	/**
	 * Use of the slots up to which a server works at its full speed.
	 */
	private static final double FREE_USE = 0.7;

	/**
	 * Slowdown for each part of the slots in use beyond that.
	 */
	private static final double PRESSURE = 2;

	/**
	 * Slowdown of a server that has just started.
	 */
	private static final double COLD_PENALTY = 2;

	/**
	 * Least part of its slots that an endpoint counts as free.
	 */
	private static final double LEAST_ROOM = 0.05;

	@Override
	public Optional<EndpointLoad> choose(List<EndpointLoad> candidates, BalancingContext context) {
		List<Scored> scored = new ArrayList<>(candidates.size());
		double usual = usualMillis(candidates, context.nowMillis());
		double best = Double.MAX_VALUE;
		for (EndpointLoad candidate : candidates) {
			if (context.allows(candidate)) {
				Scored entry = score(candidate, context, usual);
				scored.add(entry);
				best = Math.min(best, entry.millis());
			}
		}
		double limit = best * NEARLY_AS_GOOD;
		scored.removeIf((entry) -> entry.millis() > limit);
		return draw(scored, context);
	}

	private static Optional<EndpointLoad> draw(List<Scored> scored, BalancingContext context) {
		double sum = scored.stream().mapToDouble(Scored::room).sum();
		double point = context.random().nextDouble() * sum;
		for (Scored entry : scored) {
			point -= entry.room();
			if (point < 0) {
				return Optional.of(entry.endpoint());
			}
		}
		return scored.isEmpty() ? Optional.empty() : Optional.of(scored.getLast().endpoint());
	}

	private static Scored score(EndpointLoad load, BalancingContext context, double usual) {
		double known = load.serviceMillis(context.nowMillis());
		double service = (known > 0) ? known : usual;
		int slots = Math.max(1, load.endpoint().slots());
		double use = (load.load(context.nowMillis()) + 1.0) / slots;
		double millis = service * (1 + PRESSURE * Math.max(0, use - FREE_USE));
		millis *= 1 + ERROR_PENALTY * load.errorShare();
		if (!load.endpoint().failureDomain().equals(context.failureDomain())) {
			millis *= REMOTE_PENALTY;
		}
		double share = load.slowStartShare(context.nowMillis());
		millis *= (share < 1) ? COLD_PENALTY : 1;
		return new Scored(load, millis, Math.max(LEAST_ROOM, 1 - use) * slots * share / service);
	}

	// An endpoint without observations counts as usual, not as infinitely fast.
	private static double usualMillis(List<EndpointLoad> candidates, long nowMillis) {
		return candidates.stream()
			.mapToDouble((candidate) -> candidate.serviceMillis(nowMillis))
			.filter((millis) -> millis > 0)
			.average()
			.orElse(1);
	}

	/**
	 * One endpoint that may get the call.
	 *
	 * @param endpoint the endpoint
	 * @param millis expected time of the call
	 * @param room work that the endpoint can still take, in calls for each millisecond
	 */
	private record Scored(EndpointLoad endpoint, double millis, double room) {

	}

}
