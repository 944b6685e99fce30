package io.lavenderroad.core.metrics;

import java.util.Locale;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/**
 * Formats a registry in the Prometheus text format, version 0.0.4. The metric names in
 * the registry are already in this format, labels included, such as
 * <code>lavenderroad_calls_total{service="a"}</code>. Histograms hold microseconds and
 * are written as quantiles in milliseconds.
 */
public final class MetricsText {

	private static final double[] QUANTILES = { 0.5, 0.9, 0.99 };

	private static final double MICROS_PER_MILLI = 1_000.0;

	private MetricsText() {
	}

	/**
	 * Formats all gauges, counters and histograms.
	 * @param registry the registry
	 * @return one line for each value
	 */
	public static String of(MetricRegistry registry) {
		StringBuilder text = new StringBuilder();
		registry.getGauges()
			.forEach((name, gauge) -> text.append(name).append(' ').append(gauge.getValue()).append('\n'));
		registry.getCounters()
			.forEach((name, counter) -> text.append(name).append(' ').append(counter.getCount()).append('\n'));
		registry.getHistograms().forEach((name, histogram) -> append(text, name, histogram));
		return text.toString();
	}

	private static void append(StringBuilder text, String name, Histogram histogram) {
		int brace = name.indexOf('{');
		String base = (brace < 0) ? name : name.substring(0, brace);
		String labels = (brace < 0) ? "" : name.substring(brace + 1, name.length() - 1);
		Snapshot snapshot = histogram.getSnapshot();
		for (double quantile : QUANTILES) {
			text.append(base)
				.append('{')
				.append(labels)
				.append(labels.isEmpty() ? "" : ",")
				.append("quantile=\"")
				.append(quantile)
				.append("\"} ")
				.append(String.format(Locale.ROOT, "%.3f", snapshot.getValue(quantile) / MICROS_PER_MILLI))
				.append('\n');
		}
		text.append(base)
			.append("_count")
			.append((brace < 0) ? "" : name.substring(brace))
			.append(' ')
			.append(histogram.getCount())
			.append('\n');
	}

}
