package io.lavenderroad.control.raft;

/**
 * A message for one peer with what the sender must know when the answer arrives. Progress
 * is measured from the time of sending, so that an answer proves contact at least since
 * then.
 *
 * @param message the message
 * @param call whether the peer answers it
 * @param sentMillis time of sending
 * @param round newest quorum round at the time of sending
 * @param commitIndex commit index of the sender at the time of sending
 */
record PeerMessage(Object message, boolean call, long sentMillis, long round, long commitIndex) {

}
