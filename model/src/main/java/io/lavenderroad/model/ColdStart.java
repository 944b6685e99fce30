package io.lavenderroad.model;

/**
 * Load that the backend servers of a service tolerate while they are cold.
 *
 * @param durationMillis how long a backend server is cold after its start, in
 * milliseconds
 * @param requestsPerSecond requests per second that a cold backend server tolerates, 0
 * for no limit
 */
public record ColdStart(long durationMillis, double requestsPerSecond) {

	/**
	 * Cold start of a service that declares none.
	 */
	public static final ColdStart NONE = new ColdStart(0, 0);

	public ColdStart {
		if (durationMillis < 0) {
			throw new IllegalArgumentException("duration " + durationMillis + " ms is below 0");
		}
		if (!(requestsPerSecond >= 0) || Double.isInfinite(requestsPerSecond)) {
			throw new IllegalArgumentException("rate " + requestsPerSecond + " is not 0 or more and finite");
		}
	}

	/**
	 * Returns whether the service declares how its backend servers start.
	 * @return true if a duration or a limit is declared
	 */
	public boolean isDeclared() {
		return this.durationMillis > 0 || isLimited();
	}

	/**
	 * Returns whether a cold backend server must get a limited number of requests.
	 * @return true if there is a limit
	 */
	public boolean isLimited() {
		return this.requestsPerSecond > 0;
	}

}
