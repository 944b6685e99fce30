package io.lavenderroad.policy.moves;

import io.lavenderroad.core.kernel.ExtensionPoint;

/**
 * Decides on the next action for a move. Implementations are pure: the same situation
 * gives the same decision.
 */
@FunctionalInterface
public interface MovePolicy {

	/**
	 * Extension point where move policies are registered by name.
	 */
	ExtensionPoint<MovePolicy> EXTENSION_POINT = new ExtensionPoint<>("move policy", MovePolicy.class);

	/**
	 * Decides on the next action.
	 * @param situation the current situation of the move, which has no final verdict yet
	 * @return the decision
	 */
	MoveDecision decide(MoveSituation situation);

}
