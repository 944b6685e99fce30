package io.lavenderroad.model.departure;

import java.util.List;

/**
 * Answer to a {@link DepartureRequest}.
 *
 * @param confirmed whether the departure is kept, or the list is complete; false if the
 * member could not find out
 * @param departures departures on the VM, if they were asked for
 */
public record DepartureAnswer(boolean confirmed, List<Departure> departures) {

	/**
	 * Answer of a process that cannot find out.
	 */
	public static final DepartureAnswer UNCONFIRMED = new DepartureAnswer(false, List.of());

	/**
	 * Answer that a departure is kept.
	 */
	public static final DepartureAnswer KEPT = new DepartureAnswer(true, List.of());

	public DepartureAnswer {
		departures = List.copyOf(departures);
	}

}
