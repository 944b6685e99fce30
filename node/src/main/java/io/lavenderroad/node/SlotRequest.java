package io.lavenderroad.node;

/**
 * Request for a slot of the backend server.
 *
 * @param customer customer of the call
 * @param priority priority of the call, 0 is the highest
 * @param nested whether a request that runs at another backend server makes the call
 * @param objectiveMillis time by which the call should be answered (end of its latency
 * objective), clock reading in milliseconds
 * @param deadlineMillis deadline of the call, clock reading in milliseconds
 */
record SlotRequest(String customer, int priority, boolean nested, long objectiveMillis, long deadlineMillis) {

}
