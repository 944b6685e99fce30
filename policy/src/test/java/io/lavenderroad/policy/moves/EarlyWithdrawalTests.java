package io.lavenderroad.policy.moves;

import java.util.List;
import java.util.Map;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.MoveStatus;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Observations;
import io.lavenderroad.model.ThinEvidence;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a bad version of a short move that continues to get calls while evidence
 * is collected, and against withdrawing a version with the same faults as the old one.
 */
public class EarlyWithdrawalTests {

	private static final long SECOND = 1_000;

	@Test
	public void failingVersionIsWithdrawnOnTheFirstWindow() {
		MoveSituation situation = situation(15 * SECOND, SimulatedObservations.of(200, 1, 100),
				SimulatedObservations.of(20, 9, 100));
		Assert.assertTrue(new SequentialMovePolicy().decide(situation) instanceof MoveDecision.Withdraw);
	}

	@Test
	public void slowVersionIsWithdrawnOnTheFirstWindow() {
		MoveSituation situation = situation(15 * SECOND, SimulatedObservations.of(200, 0, 100),
				SimulatedObservations.of(20, 0, 900));
		Assert.assertTrue(new SequentialMovePolicy().decide(situation) instanceof MoveDecision.Withdraw);
	}

	@Test
	public void faultOfBothVersionsDoesNotWithdrawTheNewOne() {
		MoveSituation situation = situation(15 * SECOND, SimulatedObservations.of(200, 60, 100),
				SimulatedObservations.of(40, 12, 150));
		Assert.assertFalse(new SequentialMovePolicy().decide(situation) instanceof MoveDecision.Withdraw);
	}

	@Test
	public void longMoveWaitsForTheSequentialComparison() {
		MoveSituation situation = situation(600 * SECOND, SimulatedObservations.of(200, 1, 100),
				SimulatedObservations.of(20, 9, 100));
		Assert.assertFalse(new SequentialMovePolicy().decide(situation) instanceof MoveDecision.Withdraw);
	}

	private static MoveSituation situation(long lengthMillis, Observations older, Observations newer) {
		MoveParameters parameters = new MoveParameters("m1", "v1", "v2", lengthMillis, ThinEvidence.PROCEED,
				MoveParameters.DEFAULT_POLICY);
		MoveState move = new MoveState("catalogue", parameters, 0, MoveStatus.RAMPING, 2, 500, 2 * SECOND, "", "", "",
				0, List.of());
		List<Endpoint> none = List.of();
		VersionServers oldServers = VersionServers.of(none, "v1", 3 * SECOND);
		VersionServers newServers = VersionServers.of(none, "v2", 3 * SECOND);
		Evidence evidence = Evidence.of(Map.of(new ObservationKey("catalogue", "orders", "v1"), older,
				new ObservationKey("catalogue", "orders", "v2"), newer));
		MoveEvidence observed = MoveEvidence.start(move, List.of("orders"), 2 * SECOND)
			.plus(evidence, 3 * SECOND, oldServers, newServers);
		return new MoveSituation(3 * SECOND, move, observed, oldServers, newServers);
	}

}
