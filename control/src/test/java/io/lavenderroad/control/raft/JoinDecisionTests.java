package io.lavenderroad.control.raft;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a process with an empty disk that takes the place of the voter it was,
 * and against a group that grows with every replaced VM.
 */
public class JoinDecisionTests {

	private static final long LOST = JoinDecision.LOST_MILLIS;

	@Test
	public void processWithALostDiskReplacesTheMemberAtItsAddress() {
		JoinDecision decision = decision(Map.of());
		Assert.assertEquals(decision.join(new JoinRequest("a-2", "10.0.0.1:1")),
				MemberChange.replace("a", "a-2", "10.0.0.1:1"));
	}

	@Test
	public void processAtANewAddressReplacesALostVoterOrIsAdded() {
		JoinRequest request = new JoinRequest("d", "10.0.0.4:1");
		Assert.assertEquals(decision(Map.of()).join(request), MemberChange.add("d", "10.0.0.4:1"));
		Assert.assertEquals(decision(Map.of("b", LOST, "c", LOST - 1)).join(request),
				MemberChange.replace("b", "d", "10.0.0.4:1"));
	}

	@Test
	public void onlyASurplusVoterThatIsLostIsGivenUp() {
		Map<String, Long> silent = Map.of("b", LOST);
		Assert.assertEquals(decision(silent).surplus(), Optional.empty());
		Assert.assertEquals(new JoinDecision(members(), 2, (id) -> 0).surplus(), Optional.empty());
		Assert.assertEquals(new JoinDecision(members(), 2, (id) -> silent.getOrDefault(id, 0L)).surplus(),
				Optional.of(MemberChange.remove("b")));
	}

	private static JoinDecision decision(Map<String, Long> silence) {
		return new JoinDecision(members(), 3, (id) -> silence.getOrDefault(id, 0L));
	}

	private static MemberSet members() {
		return MemberSet.of(List.of(Member.voter("a", "10.0.0.1:1"), Member.voter("b", "10.0.0.2:1"),
				Member.voter("c", "10.0.0.3:1")));
	}

}
