package io.lavenderroad.node;

/**
 * Tells the node beside a backend server that nobody waits for a call any longer.
 *
 * @param callId number of the call on this connection
 */
record CancelCall(long callId) {

}
