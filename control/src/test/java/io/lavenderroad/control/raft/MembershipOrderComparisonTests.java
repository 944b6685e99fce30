package io.lavenderroad.control.raft;

import java.util.List;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against an order of membership changes in which the loss of a single member
 * stops writes although all requested members were alive before.
 */
public class MembershipOrderComparisonTests {

	@Test
	public void noSingleLossStopsWritesWhileAMemberIsReplaced() {
		List<MembershipOrderComparison.Step> steps = steps("add before remove");
		Assert.assertEquals(steps.size(), 4);
		for (MembershipOrderComparison.Step step : steps) {
			Assert.assertEquals(step.stoppingLosses(Set.of()), Set.of(), step.name());
			Assert.assertTrue(step.quorum().smallestVoterList() >= 3, step.name());
		}
	}

	@Test
	public void groupOfTwoVotersStopsAtAnyLoss() {
		for (MembershipOrderComparison.Step step : steps("joint consensus, demotes first")) {
			boolean shrunk = step.quorum().smallestVoterList() < 3;
			Assert.assertEquals(step.stoppingLosses(Set.of()), shrunk ? Set.of("2", "3") : Set.of(), step.name());
		}
	}

	private static List<MembershipOrderComparison.Step> steps(String order) {
		return MembershipOrderComparison.steps().stream().filter((step) -> step.order().startsWith(order)).toList();
	}

}
