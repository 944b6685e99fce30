package io.lavenderroad.node;

import java.util.concurrent.TimeUnit;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against statistics that do not distinguish queue waits, slow runs and failed
 * runs in an overload, and against statistics that grow with the number of routes.
 */
public class AdmissionStatisticsTests {

	@Test
	public void waitAndRunTimesOfARouteAreReportedSeparately() {
		NodeMetrics metrics = new NodeMetrics();
		AdmissionStatistics statistics = new AdmissionStatistics(metrics);
		statistics.recordRun("check", TimeUnit.MILLISECONDS.toNanos(300), TimeUnit.MILLISECONDS.toNanos(120), false);
		String text = metrics.text();
		Assert.assertTrue(text.contains("lavenderroad_admission_wait_millis{route=\"check\",quantile=\"0.5\"} 300.000"),
				text);
		Assert.assertTrue(text.contains("lavenderroad_run_millis{route=\"check\",quantile=\"0.5\"} 120.000"), text);
	}

	@Test
	public void routesOverTheBoundAreCountedTogether() {
		NodeMetrics metrics = new NodeMetrics();
		AdmissionStatistics statistics = new AdmissionStatistics(metrics);
		for (int route = 0; route < 1_000; route++) {
			statistics.recordRun("route-" + route, 0, 1_000, false);
		}
		Assert.assertTrue(metrics.text().contains("lavenderroad_run_millis_count{route=\"other\"} 968"),
				metrics.text());
	}

}
