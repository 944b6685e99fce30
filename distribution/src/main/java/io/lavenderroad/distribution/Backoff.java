package io.lavenderroad.distribution;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: waits are uniform between zero and a bound that
 * doubles with each attempt. Source: Brooker, "Exponential backoff and jitter", 2015. Not
 * thread-safe.
 */
final class Backoff {

	static final long START_MILLIS = 100;

	static final long LIMIT_MILLIS = 5_000;

	private final RandomGenerator random;

	private final long startMillis;

	private final long limitMillis;

	private long boundMillis;

	Backoff(RandomGenerator random) {
		this(random, START_MILLIS, LIMIT_MILLIS);
	}

	Backoff(RandomGenerator random, long startMillis, long limitMillis) {
		this.random = random;
		this.startMillis = startMillis;
		this.limitMillis = limitMillis;
		this.boundMillis = startMillis;
	}

	long nextMillis() {
		long waitMillis = this.random.nextLong(this.boundMillis) + 1;
		this.boundMillis = Math.min(this.limitMillis, this.boundMillis * 2);
		return waitMillis;
	}

	void reset() {
		this.boundMillis = this.startMillis;
	}

}
