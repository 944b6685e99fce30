package io.lavenderroad.distribution;

/**
 * Token bucket that limits the attach requests that a parent serves per second. In a mass
 * reconnect the parent would otherwise spend all its time on attach requests. The retry
 * delays of refused callers are spaced at the admitted rate. Not thread-safe; the owner
 * guards it with its lock.
 */
final class AttachAdmission {

	private static final long MINIMUM_WAIT_MILLIS = 100;

	private static final long MAXIMUM_WAIT_MILLIS = 5_000;

	private final int perSecond;

	private double tokens;

	private double pendingRetries;

	private long lastMillis;

	AttachAdmission(int perSecond, long now) {
		this.perSecond = perSecond;
		this.tokens = perSecond;
		this.lastMillis = now;
	}

	/**
	 * Admits a request or returns the delay before a retry.
	 * @param now milliseconds of the clock
	 * @return 0 if admitted, else milliseconds to wait
	 */
	long admit(long now) {
		double refill = Math.max(0, now - this.lastMillis) * this.perSecond / 1_000.0;
		this.lastMillis = Math.max(now, this.lastMillis);
		this.tokens = Math.min(this.perSecond, this.tokens + refill);
		this.pendingRetries = Math.max(0, this.pendingRetries - refill);
		if (this.tokens >= 1) {
			this.tokens--;
			return 0;
		}
		this.pendingRetries++;
		long waitMillis = (long) Math.ceil(this.pendingRetries * 1_000 / this.perSecond);
		return Math.clamp(waitMillis, MINIMUM_WAIT_MILLIS, MAXIMUM_WAIT_MILLIS);
	}

}
