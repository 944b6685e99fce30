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
 * Metrics of the calls that entered the mesh at this node, by service and customer. The
 * number of customers with separate metrics is bounded; all others share one entry. Names
 * in the registry are those of the Prometheus text format.
 */
final class NodeMetrics {

	/**
	 * Maximum number of customers with separate metrics, over all services.
	 */
	static final int MAXIMUM_CUSTOMERS = 64;

	/**
	 * Number of latencies that a histogram keeps; 2 KB for each histogram.
	 */
	private static final int WINDOW = 256;

	private final MetricRegistry registry = new MetricRegistry();

	private final TeamMetrics teams = new TeamMetrics();

	private final Map<ServiceCustomer, CallStatistics> statistics = new ConcurrentHashMap<>();

	/**
	 * Records a finished call.
	 * @param service name of the service
	 * @param customer customer of the call
	 * @param verdict final verdict
	 * @param tookNanos latency in nanoseconds
	 */
	void record(String service, String customer, ExecutionVerdict verdict, long tookNanos) {
		CallStatistics recorded = this.statistics.get(new ServiceCustomer(service, customer));
		if (recorded == null) {
			String name = customer.isEmpty() ? "none" : customer;
			boolean belowLimit = this.statistics.size() < MAXIMUM_CUSTOMERS;
			ServiceCustomer key = new ServiceCustomer(service, belowLimit ? customer : "other");
			recorded = this.statistics.computeIfAbsent(key,
					(missing) -> statistics(service, belowLimit ? name : "other"));
		}
		recorded.latencies().update(TimeUnit.NANOSECONDS.toMicros(tookNanos));
		recorded.verdicts()[verdict.ordinal()].inc();
	}

	/**
	 * Returns the metrics by team.
	 * @return the metrics
	 */
	TeamMetrics teams() {
		return this.teams;
	}

	/**
	 * Adds a gauge, which is read whenever the metrics are read.
	 * @param name name of the gauge, without prefix
	 * @param gauge supplies the value
	 */
	void gauge(String name, Gauge<? extends Number> gauge) {
		this.registry.registerGauge("lavenderroad_node_" + name, gauge);
	}

	/**
	 * Adds a histogram of a route. The caller must bound the number of routes.
	 * @param name name of the metric, without prefix
	 * @param route name of the route
	 * @return the histogram, of microseconds
	 */
	Histogram routeHistogram(String name, String route) {
		return histogram("lavenderroad_" + name + "{route=\"" + escaped(route) + "\"}");
	}

	/**
	 * Adds the metrics of another component of the process, under their own names.
	 * @param metrics metrics by name
	 */
	void include(MetricSet metrics) {
		this.registry.registerAll(metrics);
	}

	/**
	 * Returns all metrics.
	 * @return the metrics in the Prometheus text format
	 */
	String text() {
		return MetricsText.of(this.registry) + this.teams.text();
	}

	private CallStatistics statistics(String service, String customer) {
		String labels = "service=\"" + escaped(service) + "\",customer=\"" + escaped(customer) + "\"";
		ExecutionVerdict[] verdicts = ExecutionVerdict.values();
		Counter[] counters = new Counter[verdicts.length];
		for (int index = 0; index < verdicts.length; index++) {
			counters[index] = this.registry
				.counter("lavenderroad_calls_total{" + labels + ",verdict=\"" + verdicts[index].label() + "\"}");
		}
		return new CallStatistics(histogram("lavenderroad_call_millis{" + labels + "}"), counters);
	}

	private Histogram histogram(String name) {
		return this.registry.histogram(name, () -> new Histogram(new SlidingWindowReservoir(WINDOW)));
	}

	static String escaped(String label) {
		return MeshHeaders.printable(label).replace("\\", "\\\\").replace("\"", "\\\"");
	}

	private record ServiceCustomer(String service, String customer) {

	}

	private record CallStatistics(Histogram latencies, Counter[] verdicts) {

	}

}
