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
 * Figures that tell why a node may be late with a version: no parent, a slow link, or a
 * slow change. Histograms hold microseconds.
 */
final class DistributionMetrics implements MetricSet {

	private static final String PREFIX = "lavenderroad_distribution_";

	/**
	 * Values that a histogram keeps.
	 */
	private static final int WINDOW = 64;

	private final Histogram searches = new Histogram(new SlidingWindowReservoir(WINDOW));

	private final Histogram applications = new Histogram(new SlidingWindowReservoir(WINDOW));

	private final Map<String, Metric> metrics = new ConcurrentHashMap<>();

	DistributionMetrics() {
		this.metrics.put(PREFIX + "search_millis", this.searches);
		this.metrics.put(PREFIX + "apply_millis", this.applications);
	}

	/**
	 * Adds values that are read when the figures are read.
	 * @param freshness reads what the node knows of newer versions
	 * @param version reads the version held
	 * @param children reads the number of attached children
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
	void searched(long millis) {
		this.searches.update(TimeUnit.MILLISECONDS.toMicros(millis));
	}

	/**
	 * Records that an update was applied or refused.
	 * @param millis time it took
	 */
	void applied(long millis) {
		this.applications.update(TimeUnit.MILLISECONDS.toMicros(millis));
	}

	@Override
	public Map<String, Metric> getMetrics() {
		return Map.copyOf(this.metrics);
	}

	private void gauge(String name, Gauge<? extends Number> gauge) {
		this.metrics.put(PREFIX + name, gauge);
	}

}
