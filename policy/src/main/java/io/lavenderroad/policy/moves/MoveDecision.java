package io.lavenderroad.policy.moves;

/**
 * Decision of a policy on the next action for a move.
 */
public sealed interface MoveDecision {

	/**
	 * Returns why the decision was taken.
	 * @return a short sentence
	 */
	String reason();

	/**
	 * Keeps the current share.
	 *
	 * @param reason what the move is waiting for
	 */
	record Hold(String reason) implements MoveDecision {
	}

	/**
	 * Raises the share of the new version.
	 *
	 * @param shareBasisPoints the next share in 1/10,000
	 * @param reason why the step is taken now
	 */
	record NextShare(int shareBasisPoints, String reason) implements MoveDecision {
	}

	/**
	 * Removes all traffic from the new version and ends the move.
	 *
	 * @param reason what is wrong with the new version
	 * @param route the route that caused the decision, or empty for all routes together
	 * @param statistics the statistics behind the decision
	 */
	record Withdraw(String reason, String route, String statistics) implements MoveDecision {
	}

	/**
	 * Ends the ramp and starts the watch phase.
	 *
	 * @param shareBasisPoints share of the new version during the watch in 1/10,000
	 * @param reason why the phase starts now
	 */
	record Watch(int shareBasisPoints, String reason) implements MoveDecision {
	}

	/**
	 * Ends the move with all traffic on the new version.
	 *
	 * @param reason why the move ends now
	 * @param statistics the statistics behind the decision
	 */
	record Done(String reason, String statistics) implements MoveDecision {
	}

	/**
	 * Warns the operator and has no other effect. A policy issues each kind of warning
	 * only once, determined by the warnings in the state of the move.
	 *
	 * @param reason text for the operator
	 */
	record Warn(String reason) implements MoveDecision {
	}

}
