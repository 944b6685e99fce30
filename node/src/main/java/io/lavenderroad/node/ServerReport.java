package io.lavenderroad.node;

import io.lavenderroad.policy.calls.CallOrigin;

/**
 * What the node of a backend server says of it with each answer.
 *
 * @param load calls running and waiting there, a hint for balancing
 * @param serviceMillis how long a call runs there, 0 if unknown
 * @param origin who makes the calls of this route, as far as that node knows
 * @param startShare share of the requests that make such calls which may start, 0 to 1
 */
record ServerReport(int load, int serviceMillis, CallOrigin origin, double startShare) {

	/**
	 * Nothing is known of the backend server, as no node answered.
	 */
	static final ServerReport UNKNOWN = new ServerReport(-1, 0, CallOrigin.UNKNOWN, 1);

	/**
	 * An idle backend server.
	 */
	static final ServerReport IDLE = new ServerReport(0, 0, CallOrigin.UNKNOWN, 1);

	boolean isKnown() {
		return this.load >= 0;
	}

}
