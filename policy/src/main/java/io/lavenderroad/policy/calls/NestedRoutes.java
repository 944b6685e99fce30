package io.lavenderroad.policy.calls;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells which routes are called by backend servers for the requests that they run, and
 * not by callers. Such a call enters at the node beside the server that makes it, so all
 * calls of the route come from nodes of the services that make it, while callers send
 * theirs to the nodes of every service. A route counts as nested once the absence of a
 * service that sends other calls here cannot be chance. Not safe for use by many threads.
 */
public final class NestedRoutes {

	/**
	 * Calls of another service that were expected and did not come before a route counts
	 * as nested: by chance that happens once in about 8,000 cases.
	 */
	static final double EXPECTED_CALLS = 9;

	/**
	 * Calls after which all counts are halved, so that changed routes are recognized.
	 */
	private static final int HALVE_AFTER = 4_096;

	/**
	 * Part of a route's calls that may come from another service before it counts as one
	 * of callers.
	 */
	private static final double TOLERANCE = 0.01;

	private static final int MOST_ROUTES = 256;

	private final LinkedHashMap<String, Map<String, Double>> byRoute = new LinkedHashMap<>();

	private int sinceHalved;

	/**
	 * Counts a call.
	 * @param route name of the route
	 * @param callerService service beside the node where the call entered
	 */
	public void observe(String route, String callerService) {
		if (this.byRoute.size() >= MOST_ROUTES && !this.byRoute.containsKey(route)) {
			this.byRoute.pollFirstEntry();
		}
		this.byRoute.computeIfAbsent(route, (missing) -> new HashMap<>()).merge(callerService, 1.0, Double::sum);
		this.sinceHalved++;
		if (this.sinceHalved >= HALVE_AFTER) {
			this.byRoute.values().forEach((counts) -> counts.replaceAll((service, count) -> count / 2));
			this.sinceHalved = 0;
		}
	}

	/**
	 * Tells whether a route is called by backend servers only.
	 * @param route name of the route
	 * @return true if that is all but certain
	 */
	public boolean isNested(String route) {
		Map<String, Double> own = this.byRoute.get(route);
		if (own == null) {
			return false;
		}
		Map<String, Double> others = new HashMap<>();
		this.byRoute.forEach((name, counts) -> {
			if (!name.equals(route)) {
				counts.forEach((service, count) -> others.merge(service, count, Double::sum));
			}
		});
		double calls = sum(own);
		double otherCalls = sum(others);
		return others.entrySet()
			.stream()
			.anyMatch((entry) -> calls * entry.getValue() / otherCalls >= EXPECTED_CALLS
					&& own.getOrDefault(entry.getKey(), 0.0) <= TOLERANCE * calls);
	}

	private static double sum(Map<String, Double> counts) {
		return counts.values().stream().mapToDouble(Double::doubleValue).sum();
	}

}
