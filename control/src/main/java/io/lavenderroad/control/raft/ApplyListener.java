package io.lavenderroad.control.raft;

/**
 * Is told of each command that the state machine has applied.
 */
@FunctionalInterface
public interface ApplyListener {

	/**
	 * Handles an applied command. Calls come in the order of the log, between two calls
	 * of the state machine, and must not block. Commands inside an installed snapshot are
	 * not reported.
	 * @param index index of the command
	 * @param command the command
	 * @param result result of the state machine
	 */
	void applied(long index, byte[] command, byte[] result);

}
