package io.lavenderroad.model;

/**
 * State of an announced backend server.
 */
public enum EndpointState {

	/**
	 * Has just started; gets little traffic at first.
	 */
	COLD,

	/**
	 * Takes its full share.
	 */
	READY,

	/**
	 * Is leaving and gets no new work.
	 */
	DRAINING,

	/**
	 * Is gone, or its lease has run out.
	 */
	EXPIRED;

	/**
	 * Tells whether new work may be sent.
	 * @return true for {@code COLD} and {@code READY}
	 */
	public boolean acceptsWork() {
		return this == COLD || this == READY;
	}

}
