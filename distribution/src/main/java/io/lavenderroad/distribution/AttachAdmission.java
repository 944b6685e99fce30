package io.lavenderroad.distribution;

/**
 * Bounds the attach requests that a parent serves per second. A mass reconnect would
 * otherwise spend the whole parent on hellos. Callers that are turned away are told to
 * come back one after another at the admitted rate. The owner guards it with its lock.
 */
final class AttachAdmission {

	private static final long SHORTEST_WAIT_MILLIS = 100;

	private static final long LONGEST_WAIT_MILLIS = 5_000;

	private final int perSecond;

	private double tokens;

	private double turnedAway;

	private long lastMillis;

	AttachAdmission(int perSecond, long now) {
		this.perSecond = perSecond;
		this.tokens = perSecond;
		this.lastMillis = now;
	}

	/**
	 * Admits a request or states when to come back.
	 * @param now milliseconds of the clock
	 * @return 0 if admitted, else milliseconds to wait
	 */
	long admit(long now) {
		double earned = Math.max(0, now - this.lastMillis) * this.perSecond / 1_000.0;
		this.lastMillis = Math.max(now, this.lastMillis);
		this.tokens = Math.min(this.perSecond, this.tokens + earned);
		this.turnedAway = Math.max(0, this.turnedAway - earned);
		if (this.tokens >= 1) {
			this.tokens--;
			return 0;
		}
		this.turnedAway++;
		long waitMillis = (long) Math.ceil(this.turnedAway * 1_000 / this.perSecond);
		return Math.clamp(waitMillis, SHORTEST_WAIT_MILLIS, LONGEST_WAIT_MILLIS);
	}

}
