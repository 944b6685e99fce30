package io.lavenderroad.control.moves;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.ServiceConfiguration;

/**
 * Access of the move controller to the replicated state.
 */
public interface MoveStore {

	/**
	 * Returns the moves.
	 * @return moves in any status
	 */
	Collection<MoveState> moves();

	/**
	 * Returns the configuration of a service.
	 * @param service name of the service
	 * @return the configuration, or empty if the service does not exist
	 */
	Optional<ServiceConfiguration> service(String service);

	/**
	 * Returns the known endpoints of a service.
	 * @param service name of the service
	 * @return endpoints in any state
	 */
	List<Endpoint> endpoints(String service);

	/**
	 * Proposes the next state of a move and the corresponding traffic split. The log
	 * entry must have no effect unless the move is in the expected state when the entry
	 * is applied.
	 * @param expected the state that the decision was based on
	 * @param next the next state
	 * @return true if it was committed, false if it was refused or the outcome is unknown
	 */
	boolean propose(MoveState expected, MoveState next);

}
