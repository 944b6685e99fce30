package io.lavenderroad.node;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Histogram;
import org.tinylog.Logger;

/**
 * Admission statistics of the local backend server by route: queue wait, run time,
 * failures and reasons of refusals. They distinguish a long queue from a slow backend
 * server and from failed runs. The number of routes with separate statistics is bounded.
 */
final class AdmissionStatistics {

	/**
	 * Maximum number of routes with separate statistics; all others share one entry.
	 */
	static final int MAXIMUM_ROUTES = 32;

	private static final String OTHER_ROUTES = "other";

	private final NodeMetrics metrics;

	private final Map<String, RouteStatistics> byRoute = new ConcurrentHashMap<>();

	AdmissionStatistics(NodeMetrics metrics) {
		this.metrics = metrics;
	}

	/**
	 * Records a finished call that held a slot.
	 * @param route name of the route
	 * @param waitedNanos queue wait before the slot was granted
	 * @param ranNanos how long it held the slot
	 * @param failed whether the backend server answered with an error or not at all
	 */
	void recordRun(String route, long waitedNanos, long ranNanos, boolean failed) {
		statistics(route).recordRun(TimeUnit.NANOSECONDS.toMicros(waitedNanos), TimeUnit.NANOSECONDS.toMicros(ranNanos),
				failed);
	}

	/**
	 * Records a refused call.
	 * @param route name of the route
	 * @param reason reason of the refusal
	 */
	void recordRefusal(String route, String reason) {
		statistics(route).recordRefusal(reason);
	}

	/**
	 * Logs one line for each route with refused or failed calls since the last report.
	 * The log volume does not grow with the load.
	 */
	void report() {
		new TreeMap<>(this.byRoute).forEach((route, statistics) -> statistics.report(route));
	}

	private RouteStatistics statistics(String route) {
		RouteStatistics existing = this.byRoute.get(route);
		if (existing != null) {
			return existing;
		}
		String name = (this.byRoute.size() < MAXIMUM_ROUTES) ? route : OTHER_ROUTES;
		return this.byRoute.computeIfAbsent(name, this::newStatistics);
	}

	private RouteStatistics newStatistics(String route) {
		return new RouteStatistics(this.metrics.routeHistogram("admission_wait_millis", route),
				this.metrics.routeHistogram("run_millis", route));
	}

	private static final class RouteStatistics {

		private static final double MICROS_PER_MILLI = 1_000.0;

		private final Histogram waits;

		private final Histogram runs;

		private final Map<String, Integer> refusals = new TreeMap<>();

		private int ended;

		private int failed;

		private long waitedMicros;

		private long ranMicros;

		private RouteStatistics(Histogram waits, Histogram runs) {
			this.waits = waits;
			this.runs = runs;
		}

		private synchronized void recordRun(long waited, long ran, boolean failure) {
			this.waits.update(waited);
			this.runs.update(ran);
			this.ended++;
			this.failed += failure ? 1 : 0;
			this.waitedMicros += waited;
			this.ranMicros += ran;
		}

		private synchronized void recordRefusal(String reason) {
			this.refusals.merge(reason, 1, Integer::sum);
		}

		private synchronized void report(String route) {
			if (this.failed > 0 || !this.refusals.isEmpty()) {
				int count = Math.max(1, this.ended);
				Logger.info("node: Route {} ran {} calls, {} failed; average wait {} ms, average run {} ms; {}.", route,
						this.ended, this.failed, millis(this.waitedMicros, count), millis(this.ranMicros, count),
						this.refusals.isEmpty() ? "none refused" : "refused: " + this.refusals);
			}
			this.ended = 0;
			this.failed = 0;
			this.waitedMicros = 0;
			this.ranMicros = 0;
			this.refusals.clear();
		}

		private static String millis(long micros, int count) {
			return String.format(Locale.ROOT, "%.1f", micros / MICROS_PER_MILLI / count);
		}

	}

}
