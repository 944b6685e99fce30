package io.lavenderroad.model;

/**
 * State of an announced backend server.
 */
public enum EndpointState {

	/**
	 * Has just started and is in slow start: it gets little traffic at first.
	 */
	COLD,

	/**
	 * Gets its full share of traffic.
	 */
	READY,

	/**
	 * Is shutting down and gets no new calls.
	 */
	DRAINING,

	/**
	 * Has left, or its lease has expired.
	 */
	EXPIRED;

	/**
	 * Returns whether new calls may be sent to the backend server.
	 * @return true for {@code COLD} and {@code READY}
	 */
	public boolean acceptsWork() {
		return this == COLD || this == READY;
	}

}
