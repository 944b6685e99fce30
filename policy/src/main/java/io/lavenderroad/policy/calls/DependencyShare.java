package io.lavenderroad.policy.calls;

import java.util.HashMap;
import java.util.Map;

/**
 * Lets as many requests start as the services that they call can take. The load that it
 * answers is a called service that is short of slots: a request that runs in vain takes
 * slots from others. Not safe for use by many threads.
 */
public final class DependencyShare {

	/**
	 * A share that was reported is used for this long.
	 */
	static final long FRESH_MILLIS = 1_000;

	private static final double WEIGHT = 0.3;

	private final CallingRoutes callers = new CallingRoutes();

	private final Map<ServiceRank, Reported> reports = new HashMap<>();

	private final Map<String, Double> credit = new HashMap<>();

	/**
	 * Returns which routes call which service.
	 * @return the observations
	 */
	public CallingRoutes callers() {
		return this.callers;
	}

	/**
	 * Takes the share that a backend server of another service reported.
	 * @param service the service
	 * @param rank rank of the requests for which it holds
	 * @param share the share
	 * @param nowMillis clock reading in milliseconds
	 */
	public void reported(String service, int rank, double share, long nowMillis) {
		this.reports.merge(new ServiceRank(service, rank), new Reported(share, nowMillis), (old, added) -> {
			boolean fresh = nowMillis - old.millis() < FRESH_MILLIS;
			return fresh ? new Reported(old.share() + WEIGHT * (share - old.share()), nowMillis) : added;
		});
	}

	/**
	 * Returns the share of a route's requests that may start.
	 * @param route name of the route
	 * @param rank rank of the route
	 * @param nowMillis clock reading in milliseconds
	 * @return 0 to 1
	 */
	public double share(String route, int rank, long nowMillis) {
		double least = 1;
		for (Map.Entry<ServiceRank, Reported> entry : this.reports.entrySet()) {
			Reported reported = entry.getValue();
			boolean holds = entry.getKey().rank() == rank && nowMillis - reported.millis() < FRESH_MILLIS;
			if (holds && reported.share() < least && this.callers.calls(route, entry.getKey().service())) {
				least = reported.share();
			}
		}
		return least;
	}

	/**
	 * Decides whether a request may start. Refusals are spread evenly.
	 * @param route name of the route
	 * @param rank rank of the route
	 * @param nowMillis clock reading in milliseconds
	 * @return false if it is to be refused
	 */
	public boolean admits(String route, int rank, long nowMillis) {
		double share = share(route, rank, nowMillis);
		if (share >= 1) {
			return true;
		}
		double sum = this.credit.getOrDefault(route, 1.0) + share;
		boolean admitted = sum >= 1;
		this.credit.put(route, admitted ? sum - 1 : sum);
		return admitted;
	}

	private record ServiceRank(String service, int rank) {

	}

	private record Reported(double share, long millis) {

	}

}
