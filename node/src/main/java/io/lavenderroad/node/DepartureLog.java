package io.lavenderroad.node;

import io.lavenderroad.model.departure.Departure;

/**
 * Keeps departures of backend servers beyond the end of this process.
 */
@FunctionalInterface
interface DepartureLog {

	/**
	 * Keeps a departure and waits until it is kept. It is kept later if this takes too
	 * long.
	 * @param departure the departure
	 * @param timeoutMillis maximum wait in milliseconds
	 * @return whether it is kept
	 */
	boolean keep(Departure departure, long timeoutMillis);

}
