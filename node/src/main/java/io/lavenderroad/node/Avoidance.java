package io.lavenderroad.node;

import java.util.Objects;

/**
 * Which further calls should not be sent to an endpoint after it refused one.
 *
 * @param scope the calls that are meant
 * @param millis for how long
 */
record Avoidance(Scope scope, int millis) {

	static final Avoidance NONE = new Avoidance(Scope.NO_CALLS, 0);

	Avoidance {
		Objects.requireNonNull(scope, "scope");
	}

	/**
	 * The endpoint takes no calls.
	 * @param millis for how long
	 * @return the avoidance
	 */
	static Avoidance ofAllCalls(int millis) {
		return new Avoidance(Scope.ALL_CALLS, millis);
	}

	/**
	 * The endpoint has no room for calls that are not more urgent than the refused one.
	 * @param millis for how long
	 * @return the avoidance
	 */
	static Avoidance ofRank(int millis) {
		return new Avoidance(Scope.RANK, millis);
	}

	/**
	 * No endpoint of the service would take the call.
	 * @return the avoidance
	 */
	static Avoidance ofService() {
		return new Avoidance(Scope.SERVICE, 0);
	}

	/**
	 * The calls that are not to be sent.
	 */
	enum Scope {

		/**
		 * None: calls may go on.
		 */
		NO_CALLS,

		/**
		 * Calls of the rank of the refused one and of less urgent ranks.
		 */
		RANK,

		/**
		 * All calls.
		 */
		ALL_CALLS,

		/**
		 * The refused one, to any endpoint of the service.
		 */
		SERVICE

	}

}
