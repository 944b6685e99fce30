package io.lavenderroad.policy.calls;

/**
 * Linear increase of the traffic of a cold endpoint.
 */
public final class SlowStart {

	/**
	 * Time from the discovery of the endpoint until it gets its full share, in
	 * milliseconds.
	 */
	public static final long DURATION_MILLIS = 10_000;

	/**
	 * Share at the start. It is above zero because a server without calls never warms up.
	 */
	public static final double FIRST_SHARE = 0.1;

	private SlowStart() {
	}

	/**
	 * Returns the share of its regular traffic that an endpoint gets.
	 * @param ageMillis time since the endpoint was discovered
	 * @return {@value #FIRST_SHARE} to 1
	 */
	public static double share(long ageMillis) {
		double increased = FIRST_SHARE + (1 - FIRST_SHARE) * ageMillis / DURATION_MILLIS;
		return Math.min(1, Math.max(FIRST_SHARE, increased));
	}

}
