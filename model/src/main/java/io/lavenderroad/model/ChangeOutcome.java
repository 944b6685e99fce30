package io.lavenderroad.model;

import java.util.Objects;

/**
 * Answer to a change.
 *
 * @param changeId id of the change
 * @param accepted true if the change is durable on a quorum; false if it did not run
 * @param version mesh version made by the change, or the version in force if not accepted
 * @param reason why it did not run, naming the change that won a conflict; empty if
 * accepted
 */
public record ChangeOutcome(String changeId, boolean accepted, long version, String reason) {

	public ChangeOutcome {
		Objects.requireNonNull(changeId, "changeId");
		Objects.requireNonNull(reason, "reason");
	}

}
