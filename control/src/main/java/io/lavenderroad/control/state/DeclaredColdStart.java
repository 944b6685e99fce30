package io.lavenderroad.control.state;

import io.lavenderroad.model.ColdStart;

/**
 * Cold start of a service as an operator declared it. The values are not validated.
 *
 * @param seconds how long a backend server is cold after its start, in seconds
 * @param requestsPerSecond requests per second that a cold backend server tolerates, 0
 * for no limit
 */
public record DeclaredColdStart(double seconds, double requestsPerSecond) {

	/**
	 * Cold start of a service that declares none.
	 */
	public static final DeclaredColdStart NONE = new DeclaredColdStart(0, 0);

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * Converts a validated declaration.
	 * @return the cold start for the configuration of the mesh
	 */
	ColdStart toColdStart() {
		return new ColdStart(Math.round(this.seconds * MILLIS_PER_SECOND), this.requestsPerSecond);
	}

}
