package io.lavenderroad.model;

import java.util.Objects;

/**
 * Parameters of a move, as an operator requested it.
 *
 * @param id id of the move, unique in the mesh
 * @param from backend server version that currently serves
 * @param to backend server version that takes over
 * @param deadlineMillis time by which the move must be finished, milliseconds since the
 * epoch
 * @param thinEvidence what to do if there is not enough evidence
 * @param policy name of the registered move policy
 */
public record MoveParameters(String id, String from, String to, long deadlineMillis, ThinEvidence thinEvidence,
		String policy) {

	/**
	 * Name of the built-in move policy.
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
