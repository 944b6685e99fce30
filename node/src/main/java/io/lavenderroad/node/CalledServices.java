package io.lavenderroad.node;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.core.Clock;
import io.lavenderroad.policy.calls.CallingRoutes;
import io.lavenderroad.policy.calls.CallingRoutes.RunningRoute;
import io.lavenderroad.policy.calls.DependencyShare;
import org.tinylog.Logger;

/**
 * What this node knows of the services that the backend server beside it calls for the
 * requests that it runs, and how many such requests may start. The lock guards all
 * fields.
 */
final class CalledServices {

	/**
	 * How long a route counts as nested after the last node said so. Nodes that have just
	 * started do not know it yet.
	 */
	private static final long NESTED_MILLIS = 10_000;

	private static final double PERCENT = 100;

	private final Clock clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final DependencyShare shares = new DependencyShare();

	private final Map<RunningRoute, Integer> running = new HashMap<>();

	/**
	 * Routes of which a node said that they are called for running requests only, with
	 * the time of its last word.
	 */
	private final Map<String, Long> nestedRoutes = new HashMap<>();

	CalledServices(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records that a request starts at the backend server.
	 * @param route name of its route
	 * @param rank rank of its route
	 */
	void started(String route, int rank) {
		this.lock.lock();
		try {
			this.running.merge(new RunningRoute(route, rank), 1, Integer::sum);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records that a request has ended at the backend server.
	 * @param route name of its route
	 * @param rank rank of its route
	 */
	void ended(String route, int rank) {
		this.lock.lock();
		try {
			this.running.computeIfPresent(new RunningRoute(route, rank),
					(key, count) -> (count > 1) ? count - 1 : null);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records a call that enters at this node, and tells which place it has among others.
	 * A nested call is as urgent as the requests that make it.
	 * @param service the service that is called
	 * @param route name of the route
	 * @param routeRank rank of the route
	 * @return whether it is nested, and its rank
	 */
	Urgency entered(String service, String route, int routeRank) {
		this.lock.lock();
		try {
			Long saidMillis = this.nestedRoutes.get(route);
			if (saidMillis == null || this.clock.millis() - saidMillis > NESTED_MILLIS) {
				return new Urgency(false, routeRank);
			}
			CallingRoutes callers = this.shares.callers();
			callers.called(service, this.running.keySet());
			return new Urgency(true, callers.callerRank(service).orElse(routeRank));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Takes what the node of a backend server reported with its answer to a call.
	 * @param service the service that was called
	 * @param route name of the route
	 * @param rank rank that the call had
	 * @param report the report
	 */
	void reported(String service, String route, int rank, ServerReport report) {
		this.lock.lock();
		try {
			if (report.nested()) {
				this.nestedRoutes.put(route, this.clock.millis());
				this.shares.reported(service, rank, report.startShare(), this.clock.millis());
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Decides whether a request may start at the backend server.
	 * @param route name of its route
	 * @param rank rank of its route
	 * @return false if a service that it calls has no room for its calls
	 */
	boolean admits(String route, int rank) {
		this.lock.lock();
		try {
			return this.shares.admits(route, rank, this.clock.millis());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the share of the requests of a route that may start, as far as the services
	 * decide that they call.
	 * @param route name of the route
	 * @param rank rank of the route
	 * @return 0 to 1
	 */
	double startShare(String route, int rank) {
		this.lock.lock();
		try {
			return this.shares.share(route, rank, this.clock.millis());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Writes one line for each running route of which only a part may start.
	 */
	void report() {
		this.lock.lock();
		try {
			for (RunningRoute route : this.running.keySet()) {
				double share = this.shares.share(route.name(), route.rank(), this.clock.millis());
				if (share < 1) {
					Logger.info("node: {}% of the requests of route {} may start, a service that they call is short.",
							Math.round(share * PERCENT), route.name());
				}
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Place of a call among others.
	 *
	 * @param nested whether it is made for a running request
	 * @param rank its rank, 0 for the most urgent
	 */
	record Urgency(boolean nested, int rank) {

	}

}
