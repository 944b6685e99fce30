package io.lavenderroad.node;

import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;

/**
 * Newest load that the local backend server stated in an answer, with its age.
 * Thread-safe.
 */
final class ReportedLoad {

	/**
	 * How long a reading is used. The slowness changes many times a second, so an older
	 * one is no evidence for the next call.
	 */
	static final long VALIDITY_MILLIS = 200;

	/**
	 * Weight of a reading in the mean slowness, that of a call in the smoothed service
	 * time, so that both cover the same calls.
	 */
	private static final double WEIGHT = 0.1;

	private final LongAdder ignored = new LongAdder();

	private volatile Reading newest = new Reading(0, ServerLoad.USUAL_SLOWNESS_PERCENT, Long.MIN_VALUE / 2);

	private volatile double meanSlowness = ServerLoad.USUAL_SLOWNESS_PERCENT;

	/**
	 * Records an answer.
	 * @param load load that the answer states
	 * @param admitted calls that the node has admitted, running or waiting
	 * @param nowMillis clock reading in milliseconds
	 */
	void record(Optional<ServerLoad> load, int admitted, long nowMillis) {
		if (load.isEmpty()) {
			this.ignored.increment();
			return;
		}
		int others = Math.max(0, load.get().running() + load.get().waiting() - admitted);
		this.newest = new Reading(others, load.get().slownessPercent(), nowMillis);
		// Concurrent updates may lose a reading, which a mean tolerates.
		this.meanSlowness += WEIGHT * (load.get().slownessPercent() - this.meanSlowness);
	}

	/**
	 * Returns the number of requests at the backend server that this node did not admit.
	 * @param nowMillis clock reading in milliseconds
	 * @return count, 0 if the newest reading is too old
	 */
	int otherRequests(long nowMillis) {
		Reading reading = this.newest;
		return reading.isValid(nowMillis) ? reading.otherRequests() : 0;
	}

	/**
	 * Returns how long work takes on the VM at the moment.
	 * @param nowMillis clock reading in milliseconds
	 * @return percent, 100 if the newest reading is too old
	 */
	int slownessPercent(long nowMillis) {
		Reading reading = this.newest;
		return reading.isValid(nowMillis) ? reading.slownessPercent() : ServerLoad.USUAL_SLOWNESS_PERCENT;
	}

	/**
	 * Returns a service time without the share of the slowness of the last calls.
	 * @param serviceMillis smoothed service time in milliseconds
	 * @return service time at the usual speed in milliseconds
	 */
	double atUsualSpeed(double serviceMillis) {
		return serviceMillis * ServerLoad.USUAL_SLOWNESS_PERCENT / this.meanSlowness;
	}

	/**
	 * Returns the number of answers that stated no load or an impossible one.
	 * @return count since the start of the process
	 */
	long ignored() {
		return this.ignored.sum();
	}

	private record Reading(int otherRequests, int slownessPercent, long millis) {

		private boolean isValid(long nowMillis) {
			return nowMillis - this.millis <= VALIDITY_MILLIS;
		}

	}

}
