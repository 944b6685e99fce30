package io.lavenderroad.policy.moves;

import io.lavenderroad.model.Observations;

/**
 * Baseline for comparisons: the linear ramp, with withdrawal as soon as the error share
 * of the new version since the last step exceeds a fixed threshold.
 */
public final class ThresholdMovePolicy implements MovePolicy {

	private static final double MAXIMUM_ERROR_SHARE = 0.05;

	private static final long MINIMUM_CALLS = 20;

	private final MovePolicy ramp = new LinearMovePolicy();

	@Override
	public MoveDecision decide(MoveSituation situation) {
		Observations observations = MoveEvidence.total(situation.sinceStep(), situation.move().parameters().to());
		if (observations.calls() >= MINIMUM_CALLS
				&& observations.errors() > observations.calls() * MAXIMUM_ERROR_SHARE) {
			return new MoveDecision.Withdraw("the error share exceeds 5%", "",
					"errors new " + observations.errors() + "/" + observations.calls());
		}
		return this.ramp.decide(situation);
	}

}
