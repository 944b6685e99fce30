package io.lavenderroad.node;

import java.util.Objects;

/**
 * Which calls the sender should keep away from an endpoint after it refused one.
 *
 * @param scope the calls to keep away
 * @param millis for how long
 */
record Avoidance(Scope scope, int millis) {

	static final Avoidance NONE = new Avoidance(Scope.NO_CALLS, 0);

	Avoidance {
		Objects.requireNonNull(scope, "scope");
	}

	/**
	 * The endpoint accepts no calls.
	 * @param millis for how long
	 * @return the avoidance
	 */
	static Avoidance ofAllCalls(int millis) {
		return new Avoidance(Scope.ALL_CALLS, millis);
	}

	/**
	 * The endpoint has no queue capacity for calls of the same or a lower priority than
	 * the refused one.
	 * @param millis for how long
	 * @return the avoidance
	 */
	static Avoidance ofPriority(int millis) {
		return new Avoidance(Scope.RANK, millis);
	}

	/**
	 * No endpoint of the service would accept the call.
	 * @return the avoidance
	 */
	static Avoidance ofService() {
		return new Avoidance(Scope.SERVICE, 0);
	}

	/**
	 * The calls to which an avoidance applies.
	 */
	enum Scope {

		/**
		 * None.
		 */
		NO_CALLS,

		/**
		 * Calls of the same or a lower priority than the refused one.
		 */
		RANK,

		/**
		 * All calls.
		 */
		ALL_CALLS,

		/**
		 * The refused call, at every endpoint of the service.
		 */
		SERVICE

	}

}
