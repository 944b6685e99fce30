package io.lavenderroad.control.state;

import io.vavr.control.Either;

/**
 * Proposes commands to the replicated log.
 */
@FunctionalInterface
public interface CommandLog {

	/**
	 * Proposes a command and waits until it is committed and applied at this member.
	 * @param command the encoded command
	 * @return the result of {@link MeshStateMachine#apply}, or the reason why the command
	 * is not known to be committed
	 */
	Either<CommandFailure, byte[]> propose(byte[] command);

}
