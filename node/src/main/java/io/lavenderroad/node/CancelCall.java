package io.lavenderroad.node;

/**
 * Notifies the node of a backend server that the answer to a call is no longer needed.
 *
 * @param callId number of the call on this connection
 */
record CancelCall(long callId) {

}
