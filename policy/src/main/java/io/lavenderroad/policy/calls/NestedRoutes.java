package io.lavenderroad.policy.calls;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects routes whose calls are made by backend servers for the requests that they run,
 * and not by external callers. A backend server sends such a call through the node on its
 * VM, so all calls of the route enter at nodes of the services that make it, while
 * callers send theirs to the nodes of all services. A route counts as nested once it has
 * got so few calls at the nodes of some service with other traffic that chance cannot
 * explain it. Calls that entered where no running request can have made them are evidence
 * of external callers. Not thread-safe.
 */
public final class NestedRoutes {

	/**
	 * Number of calls that would be expected at the nodes of a service, but are missing,
	 * before a route counts as nested. Calls of a node that works badly are missing
	 * together, so this number is far above what chance alone would require.
	 */
	static final double MINIMUM_MISSING_CALLS = 20;

	/**
	 * Number of calls after which all counts are halved, so that changed routes are
	 * detected.
	 */
	private static final int HALVE_AFTER = 4_096;

	/**
	 * Share of the calls of a route up to which evidence of external callers is ignored:
	 * calls that entered at nodes of another service, or that no running request can have
	 * made.
	 */
	private static final double TOLERANCE = 0.01;

	/**
	 * Number of calls of a route after which its origin is determined again.
	 */
	private static final int DECIDE_AFTER = 16;

	private static final int MAXIMUM_ROUTES = 256;

	private final LinkedHashMap<String, Origins> byRoute = new LinkedHashMap<>();

	private final Origins all = new Origins();

	private int sinceHalved;

	/**
	 * Counts a call.
	 * @param route name of the route
	 * @param callerService service of the local backend server of the node where the call
	 * entered
	 * @param certainlyNew whether no request that ran there can have made the call
	 */
	public void observe(String route, String callerService, boolean certainlyNew) {
		if (this.byRoute.size() >= MAXIMUM_ROUTES && !this.byRoute.containsKey(route)) {
			this.all.subtract(this.byRoute.pollFirstEntry().getValue());
		}
		Origins routeOrigins = this.byRoute.computeIfAbsent(route, (missing) -> new Origins());
		routeOrigins.add(callerService);
		routeOrigins.certainlyNew += certainlyNew ? 1 : 0;
		this.all.add(callerService);
		routeOrigins.sinceDecided++;
		if (routeOrigins.sinceDecided >= DECIDE_AFTER) {
			routeOrigins.sinceDecided = 0;
			routeOrigins.origin = decide(routeOrigins);
		}
		this.sinceHalved++;
		if (this.sinceHalved >= HALVE_AFTER) {
			this.sinceHalved = 0;
			this.byRoute.values().forEach(Origins::halve);
			this.all.halve();
		}
	}

	/**
	 * Returns who makes the calls of a route.
	 * @param route name of the route
	 * @return the origin, {@code UNKNOWN} if there is not enough evidence
	 */
	public CallOrigin origin(String route) {
		Origins routeOrigins = this.byRoute.get(route);
		return (routeOrigins != null) ? routeOrigins.origin : CallOrigin.UNKNOWN;
	}

	private CallOrigin decide(Origins routeOrigins) {
		if (routeOrigins.certainlyNew > TOLERANCE * routeOrigins.calls) {
			return CallOrigin.CALLER;
		}
		boolean calledFromAll = true;
		for (Map.Entry<String, Double> entry : this.all.byService.entrySet()) {
			double calls = routeOrigins.byService.getOrDefault(entry.getKey(), 0.0);
			double others = (entry.getValue() - calls) / Math.max(1, this.all.calls - routeOrigins.calls);
			boolean absent = calls <= TOLERANCE * routeOrigins.calls;
			if (absent && routeOrigins.calls * others >= MINIMUM_MISSING_CALLS) {
				return CallOrigin.SERVER;
			}
			calledFromAll &= !absent;
		}
		return calledFromAll ? CallOrigin.CALLER : CallOrigin.UNKNOWN;
	}

	/**
	 * Number of calls by the service of the node where they entered.
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
