package io.lavenderroad.model.rendering;

import java.util.Objects;

import io.lavenderroad.model.ThinEvidence;

/**
 * Move that a parameters document requests.
 *
 * @param from backend server version that currently serves
 * @param to backend server version that takes over
 * @param attempt number of the attempt; a larger number retries a version that was
 * withdrawn
 * @param deadline when the move must be finished
 * @param thinEvidence what to do if there is not enough evidence
 * @param policy name of the registered move policy
 */
public record MoveRequest(String from, String to, int attempt, Deadline deadline, ThinEvidence thinEvidence,
		String policy) {

	public MoveRequest {
		Objects.requireNonNull(from, "from");
		Objects.requireNonNull(to, "to");
		Objects.requireNonNull(deadline, "deadline");
		Objects.requireNonNull(thinEvidence, "thinEvidence");
		Objects.requireNonNull(policy, "policy");
	}

	/**
	 * Returns whether another request is for the same move, possibly with another
	 * deadline, policy or handling of thin evidence.
	 * @param other the other request
	 * @return true if both versions and the attempt are equal
	 */
	public boolean sameMove(MoveRequest other) {
		return this.from.equals(other.from) && this.to.equals(other.to) && this.attempt == other.attempt;
	}

}
