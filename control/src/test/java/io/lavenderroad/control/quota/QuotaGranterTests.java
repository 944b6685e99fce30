package io.lavenderroad.control.quota;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import io.lavenderroad.model.Quota;
import io.lavenderroad.model.Team;
import io.lavenderroad.model.TeamSet;
import io.lavenderroad.policy.quota.QuotaGrant;
import io.lavenderroad.policy.quota.QuotaRequest;
import io.lavenderroad.policy.quota.TeamDemand;
import io.lavenderroad.policy.quota.TeamGrant;
import io.lavenderroad.policy.quota.TeamUse;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against grants by a member whose leadership is not confirmed, and against a
 * leader that starts with full buckets.
 */
public class QuotaGranterTests {

	private static final TeamSet TEAMS = TeamSet
		.of(List.of(new Team("orders", List.of("aa"), 0, Optional.of(new Quota(10, 20)), 1),
				new Team("unlimited", List.of("bb"), 0, Optional.empty(), 1)), 0);

	private long now;

	private long quorumAge;

	private long sequence;

	private QuotaGranter granter;

	@BeforeMethod
	public void create() {
		this.now = 1_000;
		this.quorumAge = 0;
		this.granter = new QuotaGranter(() -> this.now, () -> TEAMS, () -> this.quorumAge,
				() -> Optional.of("127.0.0.2:7400"));
	}

	@Test
	public void grantsOnlyWithRecentQuorumContact() {
		this.granter.leading(true);
		this.now += 60_000;
		this.quorumAge = QuotaGranter.MAXIMUM_QUORUM_AGE_MILLIS;
		Assert.assertEquals(request("orders", 1), QuotaGrant.notLeader(Optional.of("127.0.0.2:7400")));
		this.quorumAge--;
		Assert.assertEquals(request("orders", 1).teams().getFirst().immediate(), 1);
	}

	@Test
	public void leaderThatIsNotReadyDoesNotGrant() {
		Assert.assertFalse(request("orders", 1).granting());
		Assert.assertTrue(this.granter.uses().isEmpty());
	}

	@Test
	public void newLeadershipStartsWithEmptyBuckets() {
		this.granter.leading(true);
		this.now += 60_000;
		Assert.assertEquals(request("orders", 50).teams().getFirst().immediate(), 20);
		this.granter.leading(false);
		this.granter.leading(true);
		this.now += 500;
		Assert.assertEquals(request("orders", 50).teams().getFirst().immediate(), 5);
	}

	@Test
	public void reportsUseOfTeamsWithQuota() {
		this.granter.leading(true);
		this.now += 60_000;
		// A node with an earlier configuration still asks for a team without a quota.
		Assert.assertEquals(request("unlimited", 5).teams(), List.of(new TeamGrant("unlimited", 5, 0, 0)));
		request("orders", 25);
		Assert.assertEquals(this.granter.uses(), List.of(new TeamUse("orders", new Quota(10, 20), 20, 5, 5)));
	}

	@Test
	public void metricsHaveBoundedNumberOfTeams() {
		List<TeamUse> uses = IntStream.range(0, 1_000)
			.mapToObj((index) -> new TeamUse("team-" + index, new Quota(1, 1), index, 0, 0))
			.toList();
		String text = QuotaMetrics.text(uses);
		Assert.assertEquals(text.lines().count(), 42);
		Assert.assertTrue(text.contains("granted_in_window{team=\"team-999\"} 999"));
	}

	private QuotaGrant request(String team, int wanted) {
		return this.granter
			.grant(new QuotaRequest("node-1", 1, ++this.sequence, List.of(new TeamDemand(team, wanted, 0, 0, 0))));
	}

}
