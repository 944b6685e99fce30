package io.lavenderroad.node;

import io.lavenderroad.model.departure.Departure;
import org.tinylog.Logger;

/**
 * Acknowledges departures once they are kept outside of this process.
 */
final class DepartureAcknowledgement {

	/**
	 * Maximum wait until a departure is kept. Backend servers wait a second for an
	 * acknowledgement.
	 */
	static final long KEEP_TIMEOUT_MILLIS = 800;

	private volatile DepartureLog log = (departure, timeoutMillis) -> true;

	/**
	 * Sets what keeps departures.
	 * @param newLog keeps departures
	 */
	void keepIn(DepartureLog newLog) {
		this.log = newLog;
	}

	/**
	 * Keeps a departure.
	 * @param departure the departure, which has taken effect
	 * @return whether it is acknowledged
	 */
	AnnouncementOutcome acknowledge(Departure departure) {
		if (this.log.keep(departure, KEEP_TIMEOUT_MILLIS)) {
			return AnnouncementOutcome.ACKNOWLEDGED;
		}
		Logger.warn("node: Did not acknowledge {}: the control group has not kept it within {} ms.", departure,
				KEEP_TIMEOUT_MILLIS);
		return AnnouncementOutcome.unconfirmed("the departure is not kept yet");
	}

}
