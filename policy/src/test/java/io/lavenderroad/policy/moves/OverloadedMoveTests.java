package io.lavenderroad.policy.moves;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.ThinEvidence;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a move that misses its deadline because the demand exceeds the capacity
 * of either version.
 */
public class OverloadedMoveTests {

	private static final long DEADLINE_MILLIS = 15_000;

	private static final int SHARE = 6_586;

	@Test
	public void overloadDoesNotDelayTheLastStepBeforeTheDeadline() {
		MoveDecision decision = new SequentialMovePolicy().decide(situation(13_500, 7));
		Assert.assertTrue(decision instanceof MoveDecision.Watch, "decided " + decision);
	}

	@Test
	public void overloadIsSharedByBothVersionsWhileThereIsTime() {
		MoveDecision decision = new SequentialMovePolicy().decide(situation(11_000, 7));
		Assert.assertTrue(decision instanceof MoveDecision.Hold, "decided " + decision);
	}

	@Test
	public void versionWithFewerServersDoesNotGetAllCalls() {
		MoveDecision decision = new SequentialMovePolicy().decide(situation(13_500, 4));
		Assert.assertTrue(decision instanceof MoveDecision.Hold, "decided " + decision);
	}

	private static MoveSituation situation(long nowMillis, int newServers) {
		MoveParameters parameters = new MoveParameters("m1", "v1", "v2", DEADLINE_MILLIS, ThinEvidence.PROCEED,
				MoveParameters.DEFAULT_POLICY);
		MoveState move = new MoveState("catalogue", parameters, 0, MoveStatus.RAMPING, 7, SHARE, 10_000, "", "", "", 0,
				List.of(SequentialMovePolicy.DEADLINE_AT_RISK));
		VersionServers older = VersionServers.of(servers("v1", 7), "v1", nowMillis);
		VersionServers newer = VersionServers.of(servers("v2", newServers), "v2", nowMillis);
		Evidence evidence = Evidence
			.of(Map.of(new ObservationKey("catalogue", "orders", "v1"), SimulatedObservations.of(200, 0, 300),
					new ObservationKey("catalogue", "orders", "v2"), SimulatedObservations.of(400, 0, 300)));
		MoveEvidence observed = MoveEvidence.start(move, List.of("orders"), nowMillis - 1_000)
			.plus(evidence, nowMillis, older, newer);
		return new MoveSituation(nowMillis, move, observed, older, newer);
	}

	private static List<Endpoint> servers(String version, int count) {
		List<Endpoint> servers = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			servers.add(new Endpoint(version + "-" + index, 0, 1, EndpointState.READY, "catalogue", version, "gauteng",
					"soweto", "127.0.0.1:1", 12, 100, ""));
		}
		return servers;
	}

}
