package io.lavenderroad.node;

import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.ServiceConfiguration;

/**
 * Decides from this node's observations whether the node immediately stops sending calls
 * to the new version of a move, before the control members withdraw the version in the
 * whole mesh.
 */
@FunctionalInterface
public interface LocalWithdrawal {

	/**
	 * Called once a second for each service with an active move, always on the same
	 * thread.
	 * @param service the service, which has an active move
	 * @param recent observations of the service since the last call
	 * @param total observations of the service since this node first saw the move
	 * @param nowMillis clock reading in milliseconds
	 * @return true to set the share of the new version at this node to zero for the rest
	 * of the move
	 */
	boolean withdraw(ServiceConfiguration service, Evidence recent, Evidence total, long nowMillis);

	/**
	 * Returns a function that leaves all withdrawals to the control members.
	 * @return a function that never withdraws
	 */
	static LocalWithdrawal never() {
		return (service, recent, total, nowMillis) -> false;
	}

}
