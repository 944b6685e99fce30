package io.lavenderroad.control.raft;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a process that lost its disk and continues as the same voter, and
 * against a group that grows with each replaced VM.
 */
public class MembershipDecisionTests {

	private static final long LOST_AFTER = MembershipDecision.LOST_AFTER_MILLIS;

	@Test
	public void processWithALostDiskReplacesTheMemberAtItsAddress() {
		MembershipDecision decision = decision(Map.of());
		Assert.assertEquals(decision.changeForJoin(new JoinRequest("a-2", "10.0.0.1:1")),
				MemberChange.replace("a", "a-2", "10.0.0.1:1"));
	}

	@Test
	public void processAtANewAddressReplacesALostVoterOrIsAdded() {
		JoinRequest request = new JoinRequest("d", "10.0.0.4:1");
		Assert.assertEquals(decision(Map.of()).changeForJoin(request), MemberChange.add("d", "10.0.0.4:1"));
		Assert.assertEquals(decision(Map.of("b", LOST_AFTER, "c", LOST_AFTER - 1)).changeForJoin(request),
				MemberChange.replace("b", "d", "10.0.0.4:1"));
	}

	@Test
	public void onlyALostSurplusVoterIsRemoved() {
		Map<String, Long> unreachable = Map.of("b", LOST_AFTER);
		Assert.assertEquals(decision(unreachable).surplusRemoval(), Optional.empty());
		Assert.assertEquals(new MembershipDecision(members(), 2, (id) -> 0).surplusRemoval(), Optional.empty());
		Assert.assertEquals(
				new MembershipDecision(members(), 2, (id) -> unreachable.getOrDefault(id, 0L)).surplusRemoval(),
				Optional.of(MemberChange.remove("b")));
	}

	private static MembershipDecision decision(Map<String, Long> millisSinceResponse) {
		return new MembershipDecision(members(), 3, (id) -> millisSinceResponse.getOrDefault(id, 0L));
	}

	private static MemberSet members() {
		return MemberSet.of(List.of(Member.voter("a", "10.0.0.1:1"), Member.voter("b", "10.0.0.2:1"),
				Member.voter("c", "10.0.0.3:1")));
	}

}
