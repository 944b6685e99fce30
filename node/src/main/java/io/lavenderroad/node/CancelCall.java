package io.lavenderroad.node;

/**
 * Notifies the node of a backend server that a call is no longer waited for.
 *
 * @param callId number of the call on this connection
 */
record CancelCall(long callId) {

}
