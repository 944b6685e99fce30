package io.lavenderroad.policy.calls;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Tells which routes of a backend server call another service while they run. Whoever
 * makes a call is running when it arrives, so a route that often is not running at that
 * moment does not make these calls. Among the rest the least urgent ones count as
 * callers. Not safe for use by many threads.
 */
public final class CallingRoutes {

	/**
	 * Calls before which nothing is known.
	 */
	static final int LEAST_CALLS = 20;

	/**
	 * Part of the calls at whose arrival a calling route may seem not to run: a run whose
	 * caller has left ends here before it ends at the server.
	 */
	private static final double TOLERANCE = 0.03;

	private static final double HALVE_AFTER = 2_048;

	private final Map<String, Map<String, Presence>> byService = new HashMap<>();

	private final Map<String, Double> calls = new HashMap<>();

	/**
	 * Counts a call that the backend server made.
	 * @param service the service that is called
	 * @param running routes that run at that moment
	 */
	public void called(String service, Collection<RunningRoute> running) {
		Map<String, Presence> present = this.byService.computeIfAbsent(service, (missing) -> new HashMap<>());
		this.calls.merge(service, 1.0, Double::sum);
		running.stream()
			.distinct()
			.forEach((route) -> present.merge(route.name(), new Presence(route.rank(), 1),
					(old, added) -> new Presence(added.rank(), old.calls() + 1)));
		if (this.calls.get(service) >= HALVE_AFTER) {
			this.calls.merge(service, 0.5, (count, factor) -> count * factor);
			present.replaceAll((name, presence) -> new Presence(presence.rank(), presence.calls() / 2));
		}
	}

	/**
	 * Tells whether a route calls a service while it runs.
	 * @param route the route
	 * @param service the service
	 * @return true if it does, as far as known
	 */
	public boolean calls(String route, String service) {
		Map<String, Presence> present = this.byService.getOrDefault(service, Map.of());
		double all = this.calls.getOrDefault(service, 0.0);
		Presence own = present.get(route);
		if (all < LEAST_CALLS || own == null || !isCandidate(own, all)) {
			return false;
		}
		return present.values().stream().noneMatch((other) -> isCandidate(other, all) && other.rank() > own.rank());
	}

	/**
	 * Returns the rank of the requests that call a service.
	 * @param service the service
	 * @return the rank, or empty if it is not known
	 */
	public OptionalInt callerRank(String service) {
		double all = this.calls.getOrDefault(service, 0.0);
		if (all < LEAST_CALLS) {
			return OptionalInt.empty();
		}
		return this.byService.get(service)
			.values()
			.stream()
			.filter((presence) -> isCandidate(presence, all))
			.mapToInt(Presence::rank)
			.max();
	}

	private static boolean isCandidate(Presence presence, double all) {
		return presence.calls() >= (1 - TOLERANCE) * all;
	}

	/**
	 * A route of which a request runs.
	 *
	 * @param name name of the route
	 * @param rank its rank, 0 for the most urgent
	 */
	public record RunningRoute(String name, int rank) {

	}

	private record Presence(int rank, double calls) {

	}

}
