package io.lavenderroad.control.raft;

/**
 * Listener for leadership changes.
 */
@FunctionalInterface
public interface LeadershipListener {

	/**
	 * Handles a leadership change. Calls are made in order and without holding locks.
	 * Implementations must not block.
	 * @param leadership the new state
	 */
	void leadershipChanged(Leadership leadership);

}
