package io.lavenderroad.policy.moves;

import io.lavenderroad.model.MoveState;

/**
 * Baseline for comparisons: a fixed linear ramp of ten steps up to the deadline that
 * ignores evidence.
 */
public final class LinearMovePolicy implements MovePolicy {

	private static final int STEPS = 10;

	private static final int STEP_BASIS_POINTS = 1_000;

	@Override
	public MoveDecision decide(MoveSituation situation) {
		MoveState move = situation.move();
		long total = move.parameters().deadlineMillis() - move.startedMillis();
		long elapsed = situation.nowMillis() - move.startedMillis();
		int step = (int) Math.min(STEPS, 1 + elapsed * (STEPS + 1) / Math.max(1, total));
		int share = step * STEP_BASIS_POINTS;
		if (share <= move.shareBasisPoints()) {
			return new MoveDecision.Hold("the next step is not due");
		}
		if (step == STEPS) {
			return new MoveDecision.Done("the ramp is complete", "");
		}
		return new MoveDecision.NextShare(share, "the next step is due");
	}

}
