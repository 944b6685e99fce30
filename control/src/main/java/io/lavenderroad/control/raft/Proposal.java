package io.lavenderroad.control.raft;

import java.util.concurrent.CompletableFuture;

/**
 * A command on its way into the log.
 *
 * @param command the encoded command
 * @param deadlineMillis time at which the proposer stops waiting
 * @param outcome completed once
 */
record Proposal(byte[] command, long deadlineMillis, CompletableFuture<ProposalOutcome> outcome) {

	/**
	 * A proposal in the log.
	 *
	 * @param proposal the proposal
	 * @param term term of its entry
	 */
	record Appended(Proposal proposal, long term) {

	}

}
