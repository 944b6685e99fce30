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
 * Tracks which services the local backend server calls while it runs requests, and limits
 * how many such requests may start when a called service is overloaded. The lock guards
 * all fields.
 */
final class CalledServices {

	/**
	 * How long the reported origin of the calls of a route stays valid. Nodes that have
	 * just started cannot report it yet.
	 */
	private static final long ORIGIN_LIFETIME_MILLIS = 10_000;

	/**
	 * Uptime of this node above which it has seen the start of every request that runs at
	 * the backend server. Before that, the backend server may still run requests that
	 * began before this process started.
	 */
	private static final long COMPLETE_TRACKING_MILLIS = 5_000;

	/**
	 * Tolerance for rounding and delay of a deadline that passes through the backend
	 * server.
	 */
	private static final long DEADLINE_MARGIN_MILLIS = 50;

	private static final double PERCENT = 100;

	private final Clock clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final DependencyShare shares = new DependencyShare();

	private final Map<RunningRoute, Integer> running = new HashMap<>();

	/**
	 * Number of running requests by deadline.
	 */
	private final TreeMap<Long, Integer> deadlines = new TreeMap<>();

	/**
	 * Latest reported origin of the calls, by route.
	 */
	private final Map<String, ReportedOrigin> origins = new HashMap<>();

	private final long startMillis;

	CalledServices(Clock clock) {
		this.clock = clock;
		this.startMillis = clock.millis();
	}

	/**
	 * Records the start of a request at the backend server.
	 * @param route name of its route
	 * @param priority priority of its route
	 * @param deadlineMillis deadline of the request, clock reading in milliseconds
	 */
	void recordStart(String route, int priority, long deadlineMillis) {
		this.lock.lock();
		try {
			this.running.merge(new RunningRoute(route, priority), 1, Integer::sum);
			this.deadlines.merge(deadlineMillis, 1, Integer::sum);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records the end of a request at the backend server.
	 * @param route name of its route
	 * @param priority priority of its route
	 * @param deadlineMillis deadline of the request, clock reading in milliseconds
	 */
	void recordEnd(String route, int priority, long deadlineMillis) {
		this.lock.lock();
		try {
			this.running.computeIfPresent(new RunningRoute(route, priority),
					(key, count) -> (count > 1) ? count - 1 : null);
			this.deadlines.computeIfPresent(deadlineMillis, (key, count) -> (count > 1) ? count - 1 : null);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records a call that enters the mesh at this node and determines its origin and
	 * priority. A nested call has the priority of the requests that make it.
	 * @param service the service that is called
	 * @param route name of the route
	 * @param routePriority priority of the route
	 * @param deadlineMillis deadline of the call, clock reading in milliseconds
	 * @return origin and priority of the call
	 */
	CallPriority recordCall(String service, String route, int routePriority, long deadlineMillis) {
		this.lock.lock();
		try {
			CallOrigin origin = origin(route, deadlineMillis);
			if (origin != CallOrigin.SERVER) {
				return new CallPriority(origin, routePriority);
			}
			CallingRoutes callers = this.shares.callers();
			callers.recordCall(service, this.running.keySet());
			return new CallPriority(CallOrigin.SERVER, callers.callerPriority(service).orElse(routePriority));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records the report that a node sent with its answer to a call.
	 * @param service the service that was called
	 * @param route name of the route
	 * @param priority priority of the call
	 * @param report the report
	 */
	void recordReport(String service, String route, int priority, ServerReport report) {
		this.lock.lock();
		try {
			if (report.origin() != CallOrigin.UNKNOWN) {
				this.origins.put(route, new ReportedOrigin(report.origin(), this.clock.millis()));
			}
			if (report.origin() == CallOrigin.SERVER) {
				this.shares.recordReport(service, priority, report.startShare(), this.clock.millis());
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns whether a request may start at the backend server.
	 * @param route name of its route
	 * @param priority priority of its route
	 * @return false if a service that it calls has no capacity for its calls
	 */
	boolean admits(String route, int priority) {
		this.lock.lock();
		try {
			return this.shares.admits(route, priority, this.clock.millis());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the share of the requests of a route that may start, as limited by the
	 * services that they call.
	 * @param route name of the route
	 * @param priority priority of the route
	 * @return 0 to 1
	 */
	double startShare(String route, int priority) {
		this.lock.lock();
		try {
			return this.shares.share(route, priority, this.clock.millis());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Logs one line for each running route of which only a part of the requests may
	 * start.
	 */
	void report() {
		this.lock.lock();
		try {
			for (RunningRoute route : this.running.keySet()) {
				double share = this.shares.share(route.name(), route.priority(), this.clock.millis());
				if (share < 1) {
					Logger.info(
							"node: {}% of the requests of route {} may start because a service that they call is short of slots.",
							Math.round(share * PERCENT), route.name());
				}
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	// The deadline of a nested call is never later than that of the request that makes
	// it, so a call with a later deadline comes from a caller.
	private CallOrigin origin(String route, long deadlineMillis) {
		long now = this.clock.millis();
		boolean impossible = this.deadlines.isEmpty()
				|| this.deadlines.lastKey() < deadlineMillis - DEADLINE_MARGIN_MILLIS;
		if (impossible && now - this.startMillis >= COMPLETE_TRACKING_MILLIS) {
			return CallOrigin.CALLER;
		}
		ReportedOrigin reported = this.origins.get(route);
		return (reported != null && reported.origin() == CallOrigin.SERVER
				&& now - reported.millis() <= ORIGIN_LIFETIME_MILLIS) ? CallOrigin.SERVER : CallOrigin.UNKNOWN;
	}

	/**
	 * Origin and priority of a call.
	 *
	 * @param origin who made the call, as far as known
	 * @param priority priority of the call, 0 is the highest
	 */
	record CallPriority(CallOrigin origin, int priority) {

		boolean nested() {
			return this.origin == CallOrigin.SERVER;
		}

	}

	private record ReportedOrigin(CallOrigin origin, long millis) {

	}

}
