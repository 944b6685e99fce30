package io.lavenderroad.node;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.core.Clock;
import io.lavenderroad.policy.calls.CallOrigin;
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
	 * How long the word of a node counts on who makes the calls of a route. Nodes that
	 * have just started do not know it yet.
	 */
	private static final long ORIGIN_MILLIS = 10_000;

	/**
	 * Age of this node from which on it knows every request that runs at the backend
	 * server: the server may have been running requests before this process started.
	 */
	private static final long KNOWS_ALL_MILLIS = 5_000;

	/**
	 * Rounding and delay of a deadline on its way through the backend server.
	 */
	private static final long DEADLINE_MARGIN_MILLIS = 50;

	private static final double PERCENT = 100;

	private final Clock clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final DependencyShare shares = new DependencyShare();

	private final Map<RunningRoute, Integer> running = new HashMap<>();

	/**
	 * Deadlines of the running requests, with their number.
	 */
	private final TreeMap<Long, Integer> deadlines = new TreeMap<>();

	/**
	 * What nodes said last of who makes the calls of a route.
	 */
	private final Map<String, SaidOrigin> origins = new HashMap<>();

	private final long startMillis;

	CalledServices(Clock clock) {
		this.clock = clock;
		this.startMillis = clock.millis();
	}

	/**
	 * Records that a request starts at the backend server.
	 * @param route name of its route
	 * @param rank rank of its route
	 * @param deadlineMillis when its answer is due
	 */
	void started(String route, int rank, long deadlineMillis) {
		this.lock.lock();
		try {
			this.running.merge(new RunningRoute(route, rank), 1, Integer::sum);
			this.deadlines.merge(deadlineMillis, 1, Integer::sum);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records that a request has ended at the backend server.
	 * @param route name of its route
	 * @param rank rank of its route
	 * @param deadlineMillis when its answer was due
	 */
	void ended(String route, int rank, long deadlineMillis) {
		this.lock.lock();
		try {
			this.running.computeIfPresent(new RunningRoute(route, rank),
					(key, count) -> (count > 1) ? count - 1 : null);
			this.deadlines.computeIfPresent(deadlineMillis, (key, count) -> (count > 1) ? count - 1 : null);
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
	 * @param deadlineMillis when the answer is due
	 * @return who made it, and its rank
	 */
	Urgency entered(String service, String route, int routeRank, long deadlineMillis) {
		this.lock.lock();
		try {
			CallOrigin origin = origin(route, deadlineMillis);
			if (origin != CallOrigin.SERVER) {
				return new Urgency(origin, routeRank);
			}
			CallingRoutes callers = this.shares.callers();
			callers.called(service, this.running.keySet());
			return new Urgency(CallOrigin.SERVER, callers.callerRank(service).orElse(routeRank));
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
			if (report.origin() != CallOrigin.UNKNOWN) {
				this.origins.put(route, new SaidOrigin(report.origin(), this.clock.millis()));
			}
			if (report.origin() == CallOrigin.SERVER) {
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

	// A call that a running request makes expires with that request or before it.
	private CallOrigin origin(String route, long deadlineMillis) {
		long now = this.clock.millis();
		boolean impossible = this.deadlines.isEmpty()
				|| this.deadlines.lastKey() < deadlineMillis - DEADLINE_MARGIN_MILLIS;
		if (impossible && now - this.startMillis >= KNOWS_ALL_MILLIS) {
			return CallOrigin.CALLER;
		}
		SaidOrigin said = this.origins.get(route);
		return (said != null && said.origin() == CallOrigin.SERVER && now - said.millis() <= ORIGIN_MILLIS)
				? CallOrigin.SERVER : CallOrigin.UNKNOWN;
	}

	/**
	 * Place of a call among others.
	 *
	 * @param origin who made it, as far as known
	 * @param rank its rank, 0 for the most urgent
	 */
	record Urgency(CallOrigin origin, int rank) {

		boolean nested() {
			return this.origin == CallOrigin.SERVER;
		}

	}

	private record SaidOrigin(CallOrigin origin, long millis) {

	}

}
