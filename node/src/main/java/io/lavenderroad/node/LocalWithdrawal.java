package io.lavenderroad.node;

import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.ServiceConfiguration;

/**
 * Decides from this node's own observations whether the node stops sending calls to the
 * new version of a move at once, before the control members withdraw it for the mesh.
 */
@FunctionalInterface
public interface LocalWithdrawal {

	/**
	 * Is asked once a second for each service with an active move, on one thread.
	 * @param service the service; its move is present
	 * @param recent observations of the service since the last question
	 * @param total observations of the service since this node first saw the move
	 * @param nowMillis clock reading in milliseconds
	 * @return true to set the node's own share of the new version to zero for the rest of
	 * this move
	 */
	boolean withdraw(ServiceConfiguration service, Evidence recent, Evidence total, long nowMillis);

	/**
	 * Leaves the withdrawal to the control members.
	 * @return a function that never withdraws
	 */
	static LocalWithdrawal never() {
		return (service, recent, total, nowMillis) -> false;
	}

}
