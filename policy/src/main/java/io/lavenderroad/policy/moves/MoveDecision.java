package io.lavenderroad.policy.moves;

/**
 * What a policy decides for a move at one moment.
 */
public sealed interface MoveDecision {

	/**
	 * Returns why the decision was taken.
	 * @return a short sentence
	 */
	String reason();

	/**
	 * Keeps the present share.
	 *
	 * @param reason what the move waits for
	 */
	record Hold(String reason) implements MoveDecision {
	}

	/**
	 * Raises the share of the new version.
	 *
	 * @param shareBasisPoints the next share in 1/10,000
	 * @param reason why now
	 */
	record NextShare(int shareBasisPoints, String reason) implements MoveDecision {
	}

	/**
	 * Takes all traffic from the new version and ends the move.
	 *
	 * @param reason what is wrong with the new version
	 * @param route the route that decided, or empty for all routes together
	 * @param figures the counts behind the decision
	 */
	record Withdraw(String reason, String route, String figures) implements MoveDecision {
	}

	/**
	 * Ends the ramp and starts the watch.
	 *
	 * @param shareBasisPoints share of the new version during the watch in 1/10,000
	 * @param reason why now
	 */
	record Watch(int shareBasisPoints, String reason) implements MoveDecision {
	}

	/**
	 * Ends the move with all traffic on the new version.
	 *
	 * @param reason why now
	 * @param figures the counts behind the decision
	 */
	record Done(String reason, String figures) implements MoveDecision {
	}

	/**
	 * Tells the operator something early and changes nothing else. A policy warns once of
	 * each kind, judged by the warnings in the state of the move.
	 *
	 * @param reason the text for the operator
	 */
	record Warn(String reason) implements MoveDecision {
	}

}
