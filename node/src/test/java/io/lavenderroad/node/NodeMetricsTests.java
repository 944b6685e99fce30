package io.lavenderroad.node;

import java.util.concurrent.TimeUnit;

import io.lavenderroad.core.ExecutionVerdict;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against metrics that grow with the number of customers, and against labels that
 * break the format.
 */
public class NodeMetricsTests {

	@Test
	public void customersOverTheBoundAreCountedTogether() {
		NodeMetrics metrics = new NodeMetrics();
		for (int customer = 0; customer < 1_000; customer++) {
			metrics.record("catalogue", "shop \"" + customer, ExecutionVerdict.RAN, TimeUnit.MILLISECONDS.toNanos(4));
		}
		String text = metrics.text();
		Assert.assertTrue(text.lines().count() <= 7L * (NodeMetrics.MAXIMUM_CUSTOMERS + 1), text);
		Assert.assertTrue(
				text.contains(
						"lavenderroad_call_millis_count{service=\"catalogue\",customer=\"other\"} " + (1_000 - 64)),
				text);
		Assert.assertTrue(text.contains("customer=\"shop \\\"0\",quantile=\"0.99\"} 4.000"), text);
	}

}
