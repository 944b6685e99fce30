package io.lavenderroad.policy.moves;

import io.lavenderroad.core.kernel.ExtensionPoint;

/**
 * Decides what to do next with a move. Implementations are pure: the same situation gives
 * the same decision.
 */
@FunctionalInterface
public interface MovePolicy {

	/**
	 * Where move policies are registered by name.
	 */
	ExtensionPoint<MovePolicy> EXTENSION_POINT = new ExtensionPoint<>("move policy", MovePolicy.class);

	/**
	 * Decides the next action.
	 * @param situation what is known now; the move has no final verdict yet
	 * @return the decision
	 */
	MoveDecision decide(MoveSituation situation);

}
