package io.lavenderroad.control.raft;

/**
 * Is told when the leadership changes.
 */
@FunctionalInterface
public interface LeadershipListener {

	/**
	 * Handles a change. Calls come in order, without locks held, and must not block.
	 * @param leadership the new state
	 */
	void changed(Leadership leadership);

}
