package io.lavenderroad.control.state;

import java.util.Objects;

/**
 * Outcome of applying a command.
 *
 * @param kind kind of the outcome
 * @param version mesh version created by the command, or the active version if it created
 * none
 * @param reason reason why the command had no effect; empty if it had one
 */
public record CommandOutcome(Kind kind, long version, String reason) {

	public CommandOutcome {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(reason, "reason");
	}

	/**
	 * Returns whether the command took effect.
	 * @return true if applied
	 */
	public boolean applied() {
		return this.kind == Kind.APPLIED;
	}

	/**
	 * Kind of an outcome.
	 */
	public enum Kind {

		/**
		 * The command took effect, now or when it was applied for the first time.
		 */
		APPLIED,

		/**
		 * The command had no effect and will never have one.
		 */
		REFUSED,

		/**
		 * The command was created for an older state and had no effect; the leader may
		 * create a new one.
		 */
		STALE

	}

}
