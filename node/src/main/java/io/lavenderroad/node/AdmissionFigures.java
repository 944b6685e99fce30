package io.lavenderroad.node;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Histogram;
import org.tinylog.Logger;

/**
 * Figures of the calls that came to the backend server beside this node, for each route:
 * how long they waited for a slot, how long they ran, how many failed, and why others
 * were refused. Tells a long wait from a slow server and from runs that are lost. The
 * number of routes with figures of their own is bounded.
 */
final class AdmissionFigures {

	/**
	 * Routes with figures of their own; the rest is counted together.
	 */
	static final int MOST_ROUTES = 32;

	private static final String OTHER_ROUTES = "other";

	private final NodeMetrics metrics;

	private final Map<String, RouteFigures> byRoute = new ConcurrentHashMap<>();

	AdmissionFigures(NodeMetrics metrics) {
		this.metrics = metrics;
	}

	/**
	 * Records a call that got a slot and ended.
	 * @param route name of the route
	 * @param waitedNanos how long it waited for the slot
	 * @param ranNanos how long it held the slot
	 * @param failed whether the backend server failed or gave no answer
	 */
	void ran(String route, long waitedNanos, long ranNanos, boolean failed) {
		figures(route).ran(TimeUnit.NANOSECONDS.toMicros(waitedNanos), TimeUnit.NANOSECONDS.toMicros(ranNanos), failed);
	}

	/**
	 * Records a call that got no slot.
	 * @param route name of the route
	 * @param reason why
	 */
	void refused(String route, String reason) {
		figures(route).refused(reason);
	}

	/**
	 * Writes one line for each route of which a call was refused or failed since the last
	 * time. The volume does not grow with the load.
	 */
	void report() {
		new TreeMap<>(this.byRoute).forEach((route, figures) -> figures.report(route));
	}

	private RouteFigures figures(String route) {
		RouteFigures known = this.byRoute.get(route);
		if (known != null) {
			return known;
		}
		String name = (this.byRoute.size() < MOST_ROUTES) ? route : OTHER_ROUTES;
		return this.byRoute.computeIfAbsent(name, this::newFigures);
	}

	private RouteFigures newFigures(String route) {
		return new RouteFigures(this.metrics.routeHistogram("admission_wait_millis", route),
				this.metrics.routeHistogram("run_millis", route));
	}

	private static final class RouteFigures {

		private static final double MICROS_PER_MILLI = 1_000.0;

		private final Histogram waits;

		private final Histogram runs;

		private final Map<String, Integer> refusals = new TreeMap<>();

		private int ended;

		private int failed;

		private long waitedMicros;

		private long ranMicros;

		private RouteFigures(Histogram waits, Histogram runs) {
			this.waits = waits;
			this.runs = runs;
		}

		private synchronized void ran(long waited, long ran, boolean failure) {
			this.waits.update(waited);
			this.runs.update(ran);
			this.ended++;
			this.failed += failure ? 1 : 0;
			this.waitedMicros += waited;
			this.ranMicros += ran;
		}

		private synchronized void refused(String reason) {
			this.refusals.merge(reason, 1, Integer::sum);
		}

		private synchronized void report(String route) {
			if (this.failed > 0 || !this.refusals.isEmpty()) {
				int count = Math.max(1, this.ended);
				Logger.info("node: Route {} ran {} calls, {} failed, after {} ms of waiting for {} ms on average; {}.",
						route, this.ended, this.failed, millis(this.waitedMicros, count), millis(this.ranMicros, count),
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
