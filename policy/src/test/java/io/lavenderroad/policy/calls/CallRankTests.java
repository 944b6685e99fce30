package io.lavenderroad.policy.calls;

import java.util.List;
import java.util.Optional;

import io.lavenderroad.model.Team;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against ranks that put the priority of the route before that of the team or
 * overflow, and against nested calls that wait behind new calls of other teams.
 */
public class CallRankTests {

	@Test
	public void priorityOfTheTeamGoesBeforeThatOfTheRoute() {
		Assert.assertTrue(rank(0, 9) < rank(1, 0));
		Assert.assertTrue(rank(1, 0) < rank(1, 1));
		Assert.assertEquals(CallRank.of(Optional.empty(), 3), 3);
		Assert.assertEquals(rank(0, 3), 3);
	}

	@Test
	public void extremePrioritiesStayInOrderAndWithinTheRange() {
		int last = rank(Integer.MAX_VALUE, Integer.MAX_VALUE);
		Assert.assertTrue(rank(0, Integer.MAX_VALUE) < rank(1, 0));
		Assert.assertTrue(last > rank(1_000, 0) && 2 * last + 1 > 0, "rank " + last);
		Assert.assertEquals(rank(-1, -1), 0);
	}

	@Test
	public void nestedCallOfALowTeamRunsBeforeNewCallsOfOtherTeams() {
		AdmissionQueue<String> queue = new AdmissionQueue<>(1, 10, 10_000);
		queue.offer("running", "a", 0, 0, 1_000);
		queue.offer("new of the highest team", "b", rank(0, 2), 0, 1_000);
		queue.offer("new of a middle team", "c", rank(1, 0), 0, 1_000);
		int nested = CallRank.ofNestedCalls(rank(7, 2));
		queue.offerNested("nested", "", nested, 0, 1_000, 1_000);
		Assert.assertEquals(queue.release("a", -1, 1), Optional.of("nested"));
		Assert.assertEquals(List.of(nested, CallRank.ofNestedCalls(3)), List.of(2, 3));
	}

	private static int rank(int teamPriority, int routePriority) {
		return CallRank.of(Optional.of(new Team("a", List.of(), teamPriority, Optional.empty(), 1)), routePriority);
	}

}
