package io.lavenderroad.control.raft;

/**
 * A message for one peer, with the state of the sender at the time of sending, which is
 * needed when the response arrives. Contact is dated to the time of sending, a lower
 * bound of the time at which the peer responded.
 *
 * @param message the message
 * @param expectsResponse whether the peer responds to the message
 * @param sentMillis time of sending
 * @param round latest confirmation round at the time of sending
 * @param commitIndex commit index of the sender at the time of sending
 */
record PeerMessage(Object message, boolean expectsResponse, long sentMillis, long round, long commitIndex) {

}
