package io.lavenderroad.node;

import io.lavenderroad.core.ExecutionVerdict;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against state and metrics that grow with the number of teams, and against lost
 * counts.
 */
public class TeamMetricsTests {

	@Test
	public void onlyTheBusiestTeamsAreNamedAndNoCountIsLost() {
		TeamMetrics metrics = new TeamMetrics();
		int teams = TeamMetrics.MAXIMUM_TEAMS + 500;
		for (int team = 0; team < teams; team++) {
			metrics.recordAnswer("team " + team, ExecutionVerdict.RAN);
		}
		metrics.recordAnswer("team 77", ExecutionVerdict.RAN);
		metrics.recordOverQuota("team 77");
		String text = metrics.text();
		Assert.assertEquals(text.lines().filter((line) -> line.contains("outcome=\"ran\"")).count(),
				TeamMetrics.SHOWN_TEAMS + 1);
		Assert.assertTrue(text.contains("{team=\"team 77\",outcome=\"ran\"} 2"), text);
		Assert.assertTrue(text.contains("{team=\"team 77\",outcome=\"quota\"} 1"), text);
		Assert.assertTrue(text.contains("lavenderroad_refused_total{reason=\"quota\"} 1"), text);
		Assert.assertTrue(text.contains("{team=\"other\",outcome=\"ran\"} " + (teams - TeamMetrics.SHOWN_TEAMS)), text);
	}

}
