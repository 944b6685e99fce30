package io.lavenderroad.control.state;

import io.lavenderroad.core.Clock;
import org.tinylog.Logger;

/**
 * Delays the acknowledgement of an accepted change until the change is active on every
 * reachable node, so that an operator who receives the acknowledgement finds the change
 * applied.
 */
public final class Acknowledgement {

	/**
	 * Acknowledges a change immediately after it is accepted, for a member without nodes.
	 */
	public static final Acknowledgement IMMEDIATE = new Acknowledgement((version, timeoutMillis) -> true,
			Clock.system());

	/**
	 * Maximum wait. It is below one second, after which an operator without a response
	 * retries at another member, and it keeps an unreachable node from blocking changes.
	 */
	static final long MAXIMUM_WAIT_MILLIS = 600;

	private final VersionProgress progress;

	private final Clock clock;

	/**
	 * Creates an acknowledgement.
	 * @param progress waits until a version is active on the nodes
	 * @param clock source of time
	 */
	public Acknowledgement(VersionProgress progress, Clock clock) {
		this.progress = progress;
		this.clock = clock;
	}

	/**
	 * Waits until the version of the outcome is active if the outcome is an accepted
	 * change.
	 * @param outcome outcome of the state machine
	 * @return the same outcome
	 */
	CommandOutcome awaitActive(CommandOutcome outcome) {
		if (outcome.applied()) {
			long startMillis = this.clock.millis();
			boolean activeEverywhere = this.progress.awaitActive(outcome.version(), MAXIMUM_WAIT_MILLIS);
			Logger.info("control: Mesh version {} is active on {} after {} ms.", outcome.version(),
					activeEverywhere ? "all reachable nodes" : "some of the nodes", this.clock.millis() - startMillis);
		}
		return outcome;
	}

}
