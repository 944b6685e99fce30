package io.lavenderroad.model.departure;

/**
 * Request of a node to a control member about the departures on its VM. Each is answered
 * by a {@link DepartureAnswer} and may be sent again.
 */
public sealed interface DepartureRequest {

	/**
	 * Returns the node.
	 * @return id of the node on the VM
	 */
	String nodeId();

	/**
	 * Returns whether another control member has passed the request on. It is not passed
	 * on again.
	 * @return true if a control member sent it
	 */
	boolean forwarded();

	/**
	 * Returns the request as a control member passes it on.
	 * @return the copy
	 */
	DepartureRequest forward();

	/**
	 * Asks to keep a departure.
	 *
	 * @param nodeId id of the node on the VM
	 * @param departure the departure
	 * @param forwarded whether a control member has passed the request on
	 */
	record Keep(String nodeId, Departure departure, boolean forwarded) implements DepartureRequest {

		@Override
		public DepartureRequest forward() {
			return new Keep(this.nodeId, this.departure, true);
		}

	}

	/**
	 * Asks for all departures that were kept before.
	 *
	 * @param nodeId id of the node on the VM
	 * @param forwarded whether a control member has passed the request on
	 */
	record Read(String nodeId, boolean forwarded) implements DepartureRequest {

		@Override
		public DepartureRequest forward() {
			return new Read(this.nodeId, true);
		}

	}

}
