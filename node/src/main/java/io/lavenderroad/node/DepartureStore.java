package io.lavenderroad.node;

import java.util.List;
import java.util.Optional;

import io.lavenderroad.model.departure.Departure;

/**
 * Store of the departures on this VM outside of this process. Each call is one attempt
 * and may be repeated.
 */
interface DepartureStore {

	/**
	 * Reads all departures that were kept before this call.
	 * @return the departures, oldest first, or empty if the store does not answer
	 */
	Optional<List<Departure>> read();

	/**
	 * Keeps a departure.
	 * @param departure the departure
	 * @return true if it is kept, false if that is not known
	 */
	boolean keep(Departure departure);

}
