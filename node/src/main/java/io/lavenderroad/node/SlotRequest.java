package io.lavenderroad.node;

/**
 * A call that asks for a slot of the backend server.
 *
 * @param customer customer of the call
 * @param rank rank of the call, 0 for the most urgent
 * @param nested whether the call is made for a request that runs at another backend
 * server
 * @param goalMillis when the answer should be there
 * @param deadlineMillis when the answer is due
 */
record SlotRequest(String customer, int rank, boolean nested, long goalMillis, long deadlineMillis) {

}
