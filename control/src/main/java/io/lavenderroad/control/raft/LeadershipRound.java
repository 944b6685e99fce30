package io.lavenderroad.control.raft;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * A read confirmation that waits for a quorum to answer messages sent after it began.
 *
 * @param round number of the round
 * @param index index that is committed once the round succeeds
 * @param deadlineMillis time at which the reader stops waiting
 * @param outcome completed once
 */
record LeadershipRound(long round, long index, long deadlineMillis, CompletableFuture<OptionalLong> outcome) {

}
