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
 */
record ServerReport(int load, int serviceMillis, CallOrigin origin, double startShare) {

	/**
	 * Report of a backend server whose node did not answer.
	 */
	static final ServerReport UNKNOWN = new ServerReport(-1, 0, CallOrigin.UNKNOWN, 1);

	/**
	 * Report of an idle backend server.
	 */
	static final ServerReport IDLE = new ServerReport(0, 0, CallOrigin.UNKNOWN, 1);

	boolean isKnown() {
		return this.load >= 0;
	}

}
