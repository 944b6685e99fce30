package io.lavenderroad.core.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against lines that a metrics collector cannot parse.
 */
public class MetricsTextTests {

	@Test
	public void labelsPrecedeTheQuantile() {
		MetricRegistry registry = new MetricRegistry();
		registry.histogram("calls{service=\"a\"}").update(2_000);
		registry.histogram("syncs").update(3_000);
		registry.registerGauge("term", (Gauge<Long>) () -> 7L);
		registry.counter("changes{result=\"ran\"}").inc();
		String text = MetricsText.of(registry);
		for (String line : new String[] { "term 7", "changes{result=\"ran\"} 1",
				"calls{service=\"a\",quantile=\"0.5\"} 2.000", "calls_count{service=\"a\"} 1",
				"syncs{quantile=\"0.99\"} 3.000", "syncs_count 1" }) {
			Assert.assertTrue(text.lines().anyMatch(line::equals), line + " is missing in\n" + text);
		}
	}

}
