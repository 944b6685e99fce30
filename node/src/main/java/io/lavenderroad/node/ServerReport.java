package io.lavenderroad.node;

import io.lavenderroad.policy.calls.CallOrigin;

/**
 * Report on a backend server that its node sends with each answer.
 *
 * @param load running and queued calls, a hint for balancing
 * @param serviceMillis estimated service time, 0 if unknown
 * @param origin who makes the calls of the route, as far as that node has determined
 * @param startShare share of requests that may start, of those that make such calls, 0 to
 * 1
 * @param pace share of its slots that the backend server may use, 0 to 1
 * @param slownessPercent how long work takes on the VM of the backend server at the
 * moment, 100 is usual
 */
record ServerReport(int load, int serviceMillis, CallOrigin origin, double startShare, double pace,
		int slownessPercent) {

	/**
	 * Report of a backend server whose node did not answer.
	 */
	static final ServerReport UNKNOWN = new ServerReport(-1, 0, CallOrigin.UNKNOWN, 1);

	/**
	 * Report of an idle backend server.
	 */
	static final ServerReport IDLE = new ServerReport(0, 0, CallOrigin.UNKNOWN, 1);

	/**
	 * Creates a report of a backend server that may use all its slots, at the usual speed
	 * of its VM.
	 * @param load running and queued calls, a hint for balancing
	 * @param serviceMillis estimated service time, 0 if unknown
	 * @param origin who makes the calls of the route
	 * @param startShare share of requests that may start
	 */
	ServerReport(int load, int serviceMillis, CallOrigin origin, double startShare) {
		this(load, serviceMillis, origin, startShare, 1, ServerLoad.USUAL_SLOWNESS_PERCENT);
	}

	boolean isKnown() {
		return this.load >= 0;
	}

}
