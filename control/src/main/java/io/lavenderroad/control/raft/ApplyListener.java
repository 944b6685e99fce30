package io.lavenderroad.control.raft;

/**
 * Listener for commands that the state machine has applied.
 */
@FunctionalInterface
public interface ApplyListener {

	/**
	 * Handles an applied command. Calls are made in log order and never overlap with
	 * calls of the state machine. Implementations must not block. Commands covered by an
	 * installed snapshot are not reported.
	 * @param index index of the command
	 * @param command the command
	 * @param result result of the state machine
	 */
	void applied(long index, byte[] command, byte[] result);

}
