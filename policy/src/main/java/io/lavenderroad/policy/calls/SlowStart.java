package io.lavenderroad.policy.calls;

/**
 * Linear growth of the traffic of a cold endpoint.
 */
public final class SlowStart {

	/**
	 * Time from the first call to the full share, in milliseconds.
	 */
	public static final long DURATION_MILLIS = 10_000;

	/**
	 * Share at the start. It is not zero, because a server that gets no calls never warms
	 * up.
	 */
	public static final double FIRST_SHARE = 0.1;

	private SlowStart() {
	}

	/**
	 * Returns the share of the usual traffic.
	 * @param ageMillis time since the endpoint was first seen
	 * @return {@value #FIRST_SHARE} to 1
	 */
	public static double share(long ageMillis) {
		double grown = FIRST_SHARE + (1 - FIRST_SHARE) * ageMillis / DURATION_MILLIS;
		return Math.min(1, Math.max(FIRST_SHARE, grown));
	}

}
