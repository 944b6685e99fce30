package io.lavenderroad.node;

import java.util.function.Consumer;

import io.lavenderroad.core.Clock;
import io.lavenderroad.policy.calls.Pace;

/**
 * Tracks whether the local backend server is cold, by what it states and by what its
 * silence suggests. Changes are made by one thread at a time; any thread may ask.
 */
final class ColdPeriod {

	private final Clock clock;

	private Consumer<Pace.Cause> onSetback = (cause) -> {
	};

	private volatile long untilMillis;

	/**
	 * Set while the backend server may be cold without having stated it: after silence
	 * and after the end of an evacuation. The next announcement without a remaining cold
	 * time resets it.
	 */
	private volatile boolean untilAnnounced;

	/**
	 * Creates a period that has ended.
	 * @param clock source of time
	 */
	ColdPeriod(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Sets the receiver of setbacks.
	 * @param receiver the receiver; must not block
	 */
	void onSetback(Consumer<Pace.Cause> receiver) {
		this.onSetback = receiver;
	}

	boolean isCold() {
		return this.untilAnnounced || this.clock.millis() < this.untilMillis;
	}

	/**
	 * Returns the remaining cold time that the backend server stated last.
	 * @return milliseconds, 0 if it is not cold or its remaining cold time is unknown
	 */
	long remainingMillis() {
		return Math.max(0, this.untilMillis - this.clock.millis());
	}

	/**
	 * Assumes that the backend server is cold until it announces itself.
	 */
	void assume() {
		this.untilAnnounced = true;
	}

	/**
	 * Records that an answer has shown that the backend server is cold.
	 * @param remainingMillis remaining cold time
	 */
	void observe(long remainingMillis) {
		if (!isCold()) {
			this.onSetback.accept(Pace.Cause.COLD);
		}
		this.untilMillis = Math.max(this.untilMillis, this.clock.millis() + remainingMillis);
	}

	/**
	 * Records an announcement.
	 * @param remainingMillis remaining cold time that it states
	 * @param sameStart whether the announcement before it was of the same start
	 * @param returns whether the backend server was silent before
	 */
	void announce(long remainingMillis, boolean sameStart, boolean returns) {
		long now = this.clock.millis();
		boolean coldBefore = sameStart && now < this.untilMillis;
		this.untilMillis = now + remainingMillis;
		// The announcement with which a silent server returns may have been sent before
		// the silence, so only a later one shows that the server is not cold.
		this.untilAnnounced = (returns && sameStart) || (this.untilAnnounced && remainingMillis > 0);
		if (remainingMillis > 0 && !coldBefore) {
			this.onSetback.accept(Pace.Cause.COLD);
		}
		else if (returns) {
			this.onSetback.accept(Pace.Cause.RETURNED);
		}
	}

}
