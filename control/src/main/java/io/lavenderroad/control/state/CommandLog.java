package io.lavenderroad.control.state;

import io.vavr.control.Either;

/**
 * Way into the replicated log.
 */
@FunctionalInterface
public interface CommandLog {

	/**
	 * Proposes a command and waits until it is committed and applied at this member.
	 * @param command the encoded command
	 * @return what {@link MeshStateMachine#apply} returned, or why the command is not
	 * known to be committed
	 */
	Either<CommandFailure, byte[]> propose(byte[] command);

}
