package io.lavenderroad.model;

import java.util.Objects;

/**
 * What an operator asks of a move.
 *
 * @param id id of the move, unique in the mesh
 * @param from backend server version that serves now
 * @param to backend server version that takes over
 * @param deadlineMillis when the move must be finished, milliseconds since the epoch
 * @param thinEvidence what to do without enough evidence
 * @param policy name of the registered move policy
 */
public record MoveParameters(String id, String from, String to, long deadlineMillis, ThinEvidence thinEvidence,
		String policy) {

	/**
	 * Name of the product's own move policy.
	 */
	public static final String DEFAULT_POLICY = "sequential";

	public MoveParameters {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(from, "from");
		Objects.requireNonNull(to, "to");
		Objects.requireNonNull(thinEvidence, "thinEvidence");
		Objects.requireNonNull(policy, "policy");
	}

}
