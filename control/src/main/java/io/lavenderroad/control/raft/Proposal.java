package io.lavenderroad.control.raft;

import java.util.concurrent.CompletableFuture;

/**
 * A command that was submitted for replication.
 *
 * @param command the encoded command
 * @param deadlineMillis time at which the proposer stops waiting
 * @param outcome completed once
 */
record Proposal(byte[] command, long deadlineMillis, CompletableFuture<ProposalOutcome> outcome) {

	/**
	 * A proposal whose entry was appended to the log of the leader.
	 *
	 * @param proposal the proposal
	 * @param term term of the entry
	 */
	record Appended(Proposal proposal, long term) {

	}

}
