package io.lavenderroad.control.state;

import io.vavr.control.Either;

/**
 * Makes reads of the state machine linearizable.
 */
@FunctionalInterface
public interface ReadConfirmation {

	/**
	 * Proves by a quorum round that this member leads, and waits until the state machine
	 * has applied every entry committed before the call.
	 * @return index of the last entry applied, or why reads here may be old
	 */
	Either<CommandFailure, Long> confirm();

}
