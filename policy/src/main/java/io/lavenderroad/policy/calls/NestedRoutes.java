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

	/**
	 * Calls of a route after which it is decided again.
	 */
	private static final int DECIDE_AFTER = 16;

	private static final int MOST_ROUTES = 256;

	private final LinkedHashMap<String, Origins> byRoute = new LinkedHashMap<>();

	private final Origins all = new Origins();

	private int sinceHalved;

	/**
	 * Counts a call.
	 * @param route name of the route
	 * @param callerService service beside the node where the call entered
	 */
	public void observe(String route, String callerService) {
		if (this.byRoute.size() >= MOST_ROUTES && !this.byRoute.containsKey(route)) {
			this.all.subtract(this.byRoute.pollFirstEntry().getValue());
		}
		Origins own = this.byRoute.computeIfAbsent(route, (missing) -> new Origins());
		own.add(callerService);
		this.all.add(callerService);
		own.sinceDecided++;
		if (own.sinceDecided >= DECIDE_AFTER) {
			own.sinceDecided = 0;
			own.nested = decide(own);
		}
		this.sinceHalved++;
		if (this.sinceHalved >= HALVE_AFTER) {
			this.sinceHalved = 0;
			this.byRoute.values().forEach(Origins::halve);
			this.all.halve();
		}
	}

	/**
	 * Tells whether a route is called by backend servers only.
	 * @param route name of the route
	 * @return true if that is all but certain
	 */
	public boolean isNested(String route) {
		Origins own = this.byRoute.get(route);
		return own != null && own.nested;
	}

	private boolean decide(Origins own) {
		double otherCalls = this.all.calls - own.calls;
		return this.all.byService.entrySet().stream().anyMatch((entry) -> {
			double ownCalls = own.byService.getOrDefault(entry.getKey(), 0.0);
			double expected = own.calls * (entry.getValue() - ownCalls) / Math.max(1, otherCalls);
			return expected >= EXPECTED_CALLS && ownCalls <= TOLERANCE * own.calls;
		});
	}

	/**
	 * Calls by the service beside the node where they entered.
	 */
	private static final class Origins {

		private final Map<String, Double> byService = new HashMap<>();

		private double calls;

		private int sinceDecided;

		private boolean nested;

		private void add(String service) {
			this.byService.merge(service, 1.0, Double::sum);
			this.calls++;
		}

		private void subtract(Origins other) {
			other.byService.forEach((service, count) -> this.byService.merge(service, -count, Double::sum));
			this.calls -= other.calls;
		}

		private void halve() {
			this.byService.replaceAll((service, count) -> count / 2);
			this.calls /= 2;
		}

	}

}
