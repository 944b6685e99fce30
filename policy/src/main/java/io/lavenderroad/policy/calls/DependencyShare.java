package io.lavenderroad.policy.calls;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the requests that start to the share that the services they call can serve. It
 * handles an overload of a called service: a request that fails because its nested call
 * is refused has used slots that other requests could have used. Not thread-safe.
 */
public final class DependencyShare {

	/**
	 * Time for which a reported share is valid.
	 */
	static final long REPORT_VALIDITY_MILLIS = 1_000;

	private static final double SMOOTHING_WEIGHT = 0.3;

	private final CallingRoutes callers = new CallingRoutes();

	private final Map<ServicePriority, Reported> reports = new HashMap<>();

	private final Map<String, Double> credits = new HashMap<>();

	/**
	 * Returns the record of which routes call which services.
	 * @return the record, which the caller updates
	 */
	public CallingRoutes callers() {
		return this.callers;
	}

	/**
	 * Records the share that a backend server of another service reported.
	 * @param service the service
	 * @param priority priority of the requests to which the share applies
	 * @param share the share, 0 to 1
	 * @param nowMillis clock reading in milliseconds
	 */
	public void recordReport(String service, int priority, double share, long nowMillis) {
		this.reports.merge(new ServicePriority(service, priority), new Reported(share, nowMillis), (old, added) -> {
			boolean fresh = nowMillis - old.millis() < REPORT_VALIDITY_MILLIS;
			return fresh ? new Reported(old.share() + SMOOTHING_WEIGHT * (share - old.share()), nowMillis) : added;
		});
	}

	/**
	 * Returns the share of the requests of a route that may start.
	 * @param route name of the route
	 * @param priority priority of the route
	 * @param nowMillis clock reading in milliseconds
	 * @return 0 to 1
	 */
	public double share(String route, int priority, long nowMillis) {
		double minimum = 1;
		for (Map.Entry<ServicePriority, Reported> entry : this.reports.entrySet()) {
			Reported reported = entry.getValue();
			boolean applies = entry.getKey().priority() == priority
					&& nowMillis - reported.millis() < REPORT_VALIDITY_MILLIS;
			if (applies && reported.share() < minimum && this.callers.calls(route, entry.getKey().service())) {
				minimum = reported.share();
			}
		}
		return minimum;
	}

	/**
	 * Decides whether a request may start. Refusals are spread evenly over the requests
	 * of a route.
	 * @param route name of the route
	 * @param priority priority of the route
	 * @param nowMillis clock reading in milliseconds
	 * @return false if the request must be refused
	 */
	public boolean admits(String route, int priority, long nowMillis) {
		double share = share(route, priority, nowMillis);
		if (share >= 1) {
			return true;
		}
		double sum = this.credits.getOrDefault(route, 1.0) + share;
		boolean admitted = sum >= 1;
		this.credits.put(route, admitted ? sum - 1 : sum);
		return admitted;
	}

	private record ServicePriority(String service, int priority) {

	}

	private record Reported(double share, long millis) {

	}

}
