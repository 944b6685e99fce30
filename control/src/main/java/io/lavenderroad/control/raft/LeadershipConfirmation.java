package io.lavenderroad.control.raft;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * A pending confirmation of leadership for a linearizable read. It succeeds once a quorum
 * has responded to messages that were sent after it began.
 *
 * @param round number of the confirmation round
 * @param readIndex index that must be committed for the confirmation to succeed; the read
 * waits until it is applied
 * @param deadlineMillis time at which the reader stops waiting
 * @param outcome completed once
 */
record LeadershipConfirmation(long round, long readIndex, long deadlineMillis,
		CompletableFuture<OptionalLong> outcome) {

}
