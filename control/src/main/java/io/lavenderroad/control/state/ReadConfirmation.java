package io.lavenderroad.control.state;

import io.vavr.control.Either;

/**
 * Makes reads of the state machine linearizable.
 */
@FunctionalInterface
public interface ReadConfirmation {

	/**
	 * Confirms with a quorum that this member is the leader, and waits until the state
	 * machine has applied every entry committed before the call.
	 * @return index of the last applied entry, or the reason why reads at this member may
	 * be stale
	 */
	Either<CommandFailure, Long> confirm();

}
