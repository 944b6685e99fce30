package io.lavenderroad.policy.calls;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells which routes are called by backend servers for the requests that they run, and
 * not by callers. Such a call enters at the node beside the server that makes it, so all
 * calls of the route come from nodes of the services that make it, while callers send
 * theirs to the nodes of every service. A route counts as nested once the absence of a
 * service that sends other calls here cannot be chance. Calls that entered where no
 * running request can have made them prove the opposite. Not safe for use by many
 * threads.
 */
public final class NestedRoutes {

	/**
	 * Calls of another service that were expected and did not come before a route counts
	 * as nested. The calls of a node that works badly are missing together, so this is
	 * far more than chance alone would need.
	 */
	static final double EXPECTED_CALLS = 20;

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
	 * @param certainlyNew whether no request that ran there can have made it
	 */
	public void observe(String route, String callerService, boolean certainlyNew) {
		if (this.byRoute.size() >= MOST_ROUTES && !this.byRoute.containsKey(route)) {
			this.all.subtract(this.byRoute.pollFirstEntry().getValue());
		}
		Origins own = this.byRoute.computeIfAbsent(route, (missing) -> new Origins());
		own.add(callerService);
		own.certainlyNew += certainlyNew ? 1 : 0;
		this.all.add(callerService);
		own.sinceDecided++;
		if (own.sinceDecided >= DECIDE_AFTER) {
			own.sinceDecided = 0;
			own.origin = decide(own);
		}
		this.sinceHalved++;
		if (this.sinceHalved >= HALVE_AFTER) {
			this.sinceHalved = 0;
			this.byRoute.values().forEach(Origins::halve);
			this.all.halve();
		}
	}

	/**
	 * Tells who makes the calls of a route.
	 * @param route name of the route
	 * @return the origin, as far as known
	 */
	public CallOrigin origin(String route) {
		Origins own = this.byRoute.get(route);
		return (own != null) ? own.origin : CallOrigin.UNKNOWN;
	}

	private CallOrigin decide(Origins own) {
		if (own.certainlyNew > TOLERANCE * own.calls) {
			return CallOrigin.CALLER;
		}
		boolean everyServiceCalls = true;
		for (Map.Entry<String, Double> entry : this.all.byService.entrySet()) {
			double calls = own.byService.getOrDefault(entry.getKey(), 0.0);
			double others = (entry.getValue() - calls) / Math.max(1, this.all.calls - own.calls);
			boolean absent = calls <= TOLERANCE * own.calls;
			if (absent && own.calls * others >= EXPECTED_CALLS) {
				return CallOrigin.SERVER;
			}
			everyServiceCalls &= !absent;
		}
		return everyServiceCalls ? CallOrigin.CALLER : CallOrigin.UNKNOWN;
	}

	/**
	 * Calls by the service beside the node where they entered.
	 */
	private static final class Origins {

		private final Map<String, Double> byService = new HashMap<>();

		private double calls;

		private int sinceDecided;

		private double certainlyNew;

		private CallOrigin origin = CallOrigin.UNKNOWN;

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
			this.certainlyNew /= 2;
		}

	}

}
