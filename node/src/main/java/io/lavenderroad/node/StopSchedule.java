package io.lavenderroad.node;

/**
 * Decides which requests of callers a node accepts while it stops. A request that is
 * still running when the process ends is cut without an answer, and its caller cannot
 * know whether it ran. Early in the stop, when most requests end in time whatever their
 * deadline, all are accepted; later only those that end by their deadline.
 *
 * @param acceptAllUntilMillis time until which all requests are accepted, milliseconds of
 * the clock
 * @param endMillis time at which the process ends at the latest, milliseconds of the
 * clock
 */
record StopSchedule(long acceptAllUntilMillis, long endMillis) {

	/**
	 * Schedule of a node that does not stop.
	 */
	static final StopSchedule NEVER = new StopSchedule(Long.MAX_VALUE, Long.MAX_VALUE);

	/**
	 * Returns whether a request is accepted.
	 * @param nowMillis arrival of the request, milliseconds of the clock
	 * @param deadlineMillis its deadline, milliseconds of the clock
	 * @return false if the request could outlast the process
	 */
	boolean accepts(long nowMillis, long deadlineMillis) {
		return nowMillis < this.acceptAllUntilMillis || deadlineMillis <= this.endMillis;
	}

}
