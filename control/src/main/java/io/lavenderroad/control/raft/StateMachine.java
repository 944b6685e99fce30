package io.lavenderroad.control.raft;

/**
 * The state that the replicated log builds. All members apply the same commands in the
 * same order, so every method depends only on its arguments and the commands before.
 * Calls never overlap.
 */
public interface StateMachine {

	/**
	 * Runs a committed command. An exception stops the member, as its state would differ
	 * from that of the others.
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
	 * @param snapshot result of {@link #snapshot()} on some member
	 */
	void restore(byte[] snapshot);

}
