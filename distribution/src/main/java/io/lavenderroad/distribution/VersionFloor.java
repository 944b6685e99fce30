package io.lavenderroad.distribution;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import org.tinylog.Logger;

/**
 * Minimum version that a node may serve. A node without a stored version serves nothing
 * before a quorum has confirmed this minimum.
 */
final class VersionFloor {

	private final String nodeId;

	private final RandomGenerator random;

	private final FloorRequests requests;

	private volatile boolean confirmed;

	private volatile long floor;

	VersionFloor(String nodeId, RandomGenerator random, FloorRequests requests) {
		this.nodeId = nodeId;
		this.random = random;
		this.requests = requests;
	}

	/**
	 * Returns whether a version may be served.
	 * @param version the version
	 * @return false before the floor is confirmed and for versions below it
	 */
	boolean allows(long version) {
		return this.confirmed && version >= this.floor;
	}

	boolean isConfirmed() {
		return this.confirmed;
	}

	/**
	 * Allows the restored version to be served immediately: no newer version was active
	 * on this node.
	 */
	void restored() {
		this.confirmed = true;
	}

	/**
	 * Requests the floor repeatedly until it is confirmed.
	 * @param awaitParent waits for a parent; false ends the attempts
	 * @return true if it was confirmed
	 */
	boolean confirm(BooleanSupplier awaitParent) {
		Backoff backoff = new Backoff(this.random, TreeTimes.FLOOR_RETRY_MILLIS, TreeTimes.FLOOR_RETRY_LIMIT_MILLIS);
		while (awaitParent.getAsBoolean()) {
			Optional<Long> answer = this.requests.request(2 * TreeTimes.CALL_TIMEOUT_MILLIS);
			if (answer.isPresent()) {
				this.floor = answer.get();
				this.confirmed = true;
				Logger.info("distribution: Version floor is confirmed: node {} may serve version {} and later ones.",
						this.nodeId, this.floor);
				return true;
			}
			if (!sleep(backoff.nextMillis())) {
				return false;
			}
		}
		return false;
	}

	private static boolean sleep(long millis) {
		try {
			Thread.sleep(millis);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
