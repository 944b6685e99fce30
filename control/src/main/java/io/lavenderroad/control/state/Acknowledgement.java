package io.lavenderroad.control.state;

import io.lavenderroad.core.Clock;
import org.tinylog.Logger;

/**
 * Holds the acknowledgement of an accepted change back until the change is in force on
 * every node in reach, so that an operator who was told "accepted" finds it served.
 */
public final class Acknowledgement {

	/**
	 * Acknowledges as soon as a change is accepted, for a member without nodes.
	 */
	public static final Acknowledgement AT_ONCE = new Acknowledgement((version, timeoutMillis) -> true, Clock.system());

	/**
	 * Longest wait. Operators turn to another member after a second without an answer,
	 * and a node that cannot be reached must not hold up changes.
	 */
	static final long LONGEST_MILLIS = 600;

	private final VersionProgress progress;

	private final Clock clock;

	/**
	 * Creates it.
	 * @param progress tells how far versions have come
	 * @param clock source of time
	 */
	public Acknowledgement(VersionProgress progress, Clock clock) {
		this.progress = progress;
		this.clock = clock;
	}

	/**
	 * Waits if the outcome is an accepted change.
	 * @param outcome outcome of the state machine
	 * @return the same outcome
	 */
	CommandOutcome whenInForce(CommandOutcome outcome) {
		if (outcome.applied()) {
			long startMillis = this.clock.millis();
			boolean everywhere = this.progress.awaitInForce(outcome.version(), LONGEST_MILLIS);
			Logger.info("control: Mesh version {} is in force on {} after {} ms.", outcome.version(),
					everywhere ? "every node in reach" : "a part of the nodes", this.clock.millis() - startMillis);
		}
		return outcome;
	}

}
