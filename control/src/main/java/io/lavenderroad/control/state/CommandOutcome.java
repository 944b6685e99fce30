package io.lavenderroad.control.state;

import java.util.Objects;

/**
 * What applying a command did.
 *
 * @param kind kind of the outcome
 * @param version mesh version made by the command, or the version in force
 * @param reason why the command had no effect; empty if it had
 */
public record CommandOutcome(Kind kind, long version, String reason) {

	public CommandOutcome {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(reason, "reason");
	}

	/**
	 * Tells whether the command had its effect.
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
		 * The command had its effect, now or when it was applied first.
		 */
		APPLIED,

		/**
		 * The command had no effect and never will.
		 */
		REFUSED,

		/**
		 * The command was made for an older state and had no effect; the leader may
		 * decide again.
		 */
		STALE

	}

}
