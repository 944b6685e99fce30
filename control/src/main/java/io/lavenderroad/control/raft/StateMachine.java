package io.lavenderroad.control.raft;

/**
 * The replicated state machine. All members apply the same commands in the same order, so
 * the methods must be deterministic: their results depend only on the arguments and the
 * commands applied before. Calls never overlap.
 */
public interface StateMachine {

	/**
	 * Applies a committed command. An exception stops the member, as its state could
	 * otherwise diverge from that of the other members.
	 * @param index index of the command in the log
	 * @param command the encoded command
	 * @return the encoded result for the proposer
	 */
	byte[] apply(long index, byte[] command);

	/**
	 * Encodes the whole state.
	 * @return input for {@link #restore(byte[])}
	 */
	byte[] snapshot();

	/**
	 * Replaces the whole state.
	 * @param snapshot result of {@link #snapshot()} on any member
	 */
	void restore(byte[] snapshot);

}
