package io.lavenderroad.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * Figures of a control member. Names are those of the Prometheus text format.
 */
final class ControlMetrics {

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Adds a value that is read when the figures are read.
	 * @param name name of the value without its prefix
	 * @param gauge reads it
	 */
	void gauge(String name, Gauge<? extends Number> gauge) {
		this.registry.registerGauge("lavenderroad_control_" + name, gauge);
	}

	/**
	 * Returns all figures.
	 * @return the Prometheus text format
	 */
	String text() {
		StringBuilder text = new StringBuilder();
		this.registry.getGauges()
			.forEach((name, gauge) -> text.append(name).append(' ').append(gauge.getValue()).append('\n'));
		return text.toString();
	}

}
