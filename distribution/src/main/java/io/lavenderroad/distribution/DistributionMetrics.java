package io.lavenderroad.distribution;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricSet;
import com.codahale.metrics.SlidingWindowReservoir;
import io.lavenderroad.model.ConfigurationFreshness;

/**
 * Metrics that show why a version reaches a node late: no parent, a slow link, or a slow
 * update. Histograms record microseconds.
 */
final class DistributionMetrics implements MetricSet {

	private static final String PREFIX = "lavenderroad_distribution_";

	/**
	 * Number of values that a histogram keeps.
	 */
	private static final int WINDOW = 64;

	private final Histogram searchDurations = new Histogram(new SlidingWindowReservoir(WINDOW));

	private final Histogram updateDurations = new Histogram(new SlidingWindowReservoir(WINDOW));

	private final Map<String, Metric> metrics = new ConcurrentHashMap<>();

	DistributionMetrics() {
		this.metrics.put(PREFIX + "search_millis", this.searchDurations);
		this.metrics.put(PREFIX + "apply_millis", this.updateDurations);
	}

	/**
	 * Adds the metrics whose values are read on demand.
	 * @param freshness returns the age of the last root confirmation and the newest
	 * announced version
	 * @param version returns the version held
	 * @param children returns the number of attached children
	 */
	void gauges(Supplier<ConfigurationFreshness> freshness, LongSupplier version, Supplier<Integer> children) {
		gauge("root_age_millis", () -> freshness.get().rootAgeMillis());
		gauge("newest_version", () -> freshness.get().newestVersion());
		gauge("version", version::getAsLong);
		gauge("children", children::get);
	}

	/**
	 * Records the end of a search for a parent.
	 * @param millis time without a parent
	 */
	void parentFound(long millis) {
		this.searchDurations.update(TimeUnit.MILLISECONDS.toMicros(millis));
	}

	/**
	 * Records that an update was handled, whether or not its version became active.
	 * @param millis time it took
	 */
	void applied(long millis) {
		this.updateDurations.update(TimeUnit.MILLISECONDS.toMicros(millis));
	}

	@Override
	public Map<String, Metric> getMetrics() {
		return Map.copyOf(this.metrics);
	}

	private void gauge(String name, Gauge<? extends Number> gauge) {
		this.metrics.put(PREFIX + name, gauge);
	}

}
