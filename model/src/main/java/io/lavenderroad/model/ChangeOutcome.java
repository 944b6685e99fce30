package io.lavenderroad.model;

import java.util.Objects;

/**
 * Result of a change.
 *
 * @param changeId id of the change
 * @param accepted true if the change is durable on a quorum; false if it was not applied
 * @param version mesh version made by the change, or the active version if it was not
 * accepted
 * @param reason why the change was not applied, naming the change that won a conflict;
 * empty if accepted
 */
public record ChangeOutcome(String changeId, boolean accepted, long version, String reason) {

	public ChangeOutcome {
		Objects.requireNonNull(changeId, "changeId");
		Objects.requireNonNull(reason, "reason");
	}

}
