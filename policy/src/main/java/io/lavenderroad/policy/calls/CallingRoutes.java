package io.lavenderroad.policy.calls;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Determines which routes of a backend server call another service while they run. The
 * request that makes a call is running when the call arrives, so a route that often has
 * no running request at that moment does not make these calls. Of the remaining routes,
 * those of the lowest priority count as callers. Not thread-safe.
 */
public final class CallingRoutes {

	/**
	 * Number of calls of a service below which its callers are unknown.
	 */
	static final int MINIMUM_CALLS = 20;

	/**
	 * Share of the calls at whose arrival a calling route may appear not to run. If the
	 * caller of a request disconnects, its run ends here before it ends at the server.
	 */
	private static final double TOLERANCE = 0.03;

	private static final double HALVE_AFTER = 2_048;

	private final Map<String, Map<String, Presence>> byService = new HashMap<>();

	private final Map<String, Double> calls = new HashMap<>();

	/**
	 * Records a call that the backend server made.
	 * @param service the service that is called
	 * @param running routes with a running request at that moment
	 */
	public void recordCall(String service, Collection<RunningRoute> running) {
		Map<String, Presence> present = this.byService.computeIfAbsent(service, (missing) -> new HashMap<>());
		this.calls.merge(service, 1.0, Double::sum);
		running.stream()
			.distinct()
			.forEach((route) -> present.merge(route.name(), new Presence(route.priority(), 1),
					(old, added) -> new Presence(added.priority(), old.calls() + 1)));
		if (this.calls.get(service) >= HALVE_AFTER) {
			this.calls.merge(service, 0.5, (count, factor) -> count * factor);
			present.replaceAll((name, presence) -> new Presence(presence.priority(), presence.calls() / 2));
		}
	}

	/**
	 * Returns whether a route calls a service while it runs.
	 * @param route the route
	 * @param service the service
	 * @return true if the observations show it
	 */
	public boolean calls(String route, String service) {
		Map<String, Presence> present = this.byService.getOrDefault(service, Map.of());
		double all = this.calls.getOrDefault(service, 0.0);
		Presence routePresence = present.get(route);
		if (all < MINIMUM_CALLS || routePresence == null || !isCandidate(routePresence, all)) {
			return false;
		}
		return present.values()
			.stream()
			.noneMatch((other) -> isCandidate(other, all) && other.priority() > routePresence.priority());
	}

	/**
	 * Returns the priority of the requests that call a service.
	 * @param service the service
	 * @return the lowest priority of the candidates, or empty if it is unknown
	 */
	public OptionalInt callerPriority(String service) {
		double all = this.calls.getOrDefault(service, 0.0);
		if (all < MINIMUM_CALLS) {
			return OptionalInt.empty();
		}
		return this.byService.get(service)
			.values()
			.stream()
			.filter((presence) -> isCandidate(presence, all))
			.mapToInt(Presence::priority)
			.max();
	}

	private static boolean isCandidate(Presence presence, double all) {
		return presence.calls() >= (1 - TOLERANCE) * all;
	}

	/**
	 * A route with a running request.
	 *
	 * @param name name of the route
	 * @param priority its priority, 0 is the highest
	 */
	public record RunningRoute(String name, int priority) {

	}

	private record Presence(int priority, double calls) {

	}

}
