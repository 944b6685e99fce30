package io.lavenderroad.policy.moves;

import io.lavenderroad.model.Observations;

/**
 * Baseline for comparison: the linear ramp, with withdrawal as soon as the error share of
 * the new version since the last step exceeds a fixed threshold.
 */
public final class ThresholdMovePolicy implements MovePolicy {

	private static final double ERROR_SHARE = 0.05;

	private static final long LEAST_CALLS = 20;

	private final MovePolicy ramp = new LinearMovePolicy();

	@Override
	public MoveDecision decide(MoveSituation situation) {
		Observations seen = MoveEvidence.total(situation.sinceStep(), situation.move().parameters().to());
		if (seen.calls() >= LEAST_CALLS && seen.errors() > seen.calls() * ERROR_SHARE) {
			return new MoveDecision.Withdraw("the error share exceeds 5%", "",
					"errors new " + seen.errors() + "/" + seen.calls());
		}
		return this.ramp.decide(situation);
	}

}
