package io.lavenderroad.model.rendering;

import java.util.Objects;

import io.lavenderroad.model.ThinEvidence;

/**
 * Move that a parameters document asks for.
 *
 * @param from backend server version that serves now
 * @param to backend server version that takes over
 * @param attempt number of the attempt; a larger number tries a withdrawn version again
 * @param deadline when the move must be finished
 * @param thinEvidence what to do without enough evidence
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
	 * Tells whether another request asks for the same move, perhaps with another deadline
	 * or policy.
	 * @param other the other request
	 * @return true if both versions and the attempt are equal
	 */
	public boolean sameMove(MoveRequest other) {
		return this.from.equals(other.from) && this.to.equals(other.to) && this.attempt == other.attempt;
	}

}
