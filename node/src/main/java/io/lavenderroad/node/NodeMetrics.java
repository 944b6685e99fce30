package io.lavenderroad.node;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.MetricSet;
import com.codahale.metrics.SlidingWindowReservoir;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.metrics.MetricsText;

/**
 * Figures of the calls that entered through this node, for each service and customer. The
 * number of customers with figures of their own is bounded; the rest is counted together.
 * Names in the registry are those of the Prometheus text format.
 */
final class NodeMetrics {

	/**
	 * Customers with figures of their own, over all services.
	 */
	static final int MOST_CUSTOMERS = 64;

	/**
	 * Latencies that a histogram keeps: 2 KB for each histogram.
	 */
	private static final int WINDOW = 256;

	private final MetricRegistry registry = new MetricRegistry();

	private final Map<ServiceCustomer, CallFigures> figures = new ConcurrentHashMap<>();

	/**
	 * Records a finished call.
	 * @param service name of the service
	 * @param customer customer of the call
	 * @param verdict final verdict
	 * @param tookNanos latency in nanoseconds
	 */
	void record(String service, String customer, ExecutionVerdict verdict, long tookNanos) {
		CallFigures found = this.figures.get(new ServiceCustomer(service, customer));
		if (found == null) {
			String name = customer.isEmpty() ? "none" : customer;
			boolean room = this.figures.size() < MOST_CUSTOMERS;
			ServiceCustomer key = new ServiceCustomer(service, room ? customer : "other");
			found = this.figures.computeIfAbsent(key, (missing) -> figures(service, room ? name : "other"));
		}
		found.latencies().update(TimeUnit.NANOSECONDS.toMicros(tookNanos));
		found.verdicts()[verdict.ordinal()].inc();
	}

	/**
	 * Adds a value that is read when the figures are read.
	 * @param name name of the value
	 * @param gauge reads it
	 */
	void gauge(String name, Gauge<? extends Number> gauge) {
		this.registry.registerGauge("lavenderroad_node_" + name, gauge);
	}

	/**
	 * Adds a histogram of a route. The caller bounds the number of routes.
	 * @param name name of the figure
	 * @param route name of the route
	 * @return the histogram, of microseconds
	 */
	Histogram routeHistogram(String name, String route) {
		return histogram("lavenderroad_" + name + "{route=\"" + escaped(route) + "\"}");
	}

	/**
	 * Adds the figures of another part of the process, under their own names.
	 * @param figures metrics by name
	 */
	void include(MetricSet figures) {
		this.registry.registerAll(figures);
	}

	/**
	 * Returns all figures.
	 * @return the Prometheus text format
	 */
	String text() {
		return MetricsText.of(this.registry);
	}

	private CallFigures figures(String service, String customer) {
		String labels = "service=\"" + escaped(service) + "\",customer=\"" + escaped(customer) + "\"";
		ExecutionVerdict[] verdicts = ExecutionVerdict.values();
		Counter[] counters = new Counter[verdicts.length];
		for (int index = 0; index < verdicts.length; index++) {
			counters[index] = this.registry
				.counter("lavenderroad_calls_total{" + labels + ",verdict=\"" + verdicts[index].label() + "\"}");
		}
		return new CallFigures(histogram("lavenderroad_call_millis{" + labels + "}"), counters);
	}

	private Histogram histogram(String name) {
		return this.registry.histogram(name, () -> new Histogram(new SlidingWindowReservoir(WINDOW)));
	}

	private static String escaped(String label) {
		return MeshHeaders.printable(label).replace("\\", "\\\\").replace("\"", "\\\"");
	}

	private record ServiceCustomer(String service, String customer) {

	}

	private record CallFigures(Histogram latencies, Counter[] verdicts) {

	}

}
