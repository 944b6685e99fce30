package io.lavenderroad.control.raft;

import java.util.Optional;

/**
 * Outcome of a proposal or a member change.
 */
public sealed interface ProposalOutcome {

	/**
	 * The entry is committed and applied.
	 *
	 * @param result result of the state machine; empty for a member change
	 * @param index index of the entry
	 */
	record Accepted(byte[] result, long index) implements ProposalOutcome {

	}

	/**
	 * The entry was not run and never will be.
	 *
	 * @param reason short sentence for operators
	 * @param leader the current leader, if it is known and is another member
	 */
	record NotRun(String reason, Optional<Member> leader) implements ProposalOutcome {

	}

	/**
	 * The entry may already be committed or may be committed later.
	 *
	 * @param reason short sentence for operators
	 */
	record Unknown(String reason) implements ProposalOutcome {

	}

}
