package io.lavenderroad.node;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Receives what an exchange with the local backend server shows about it.
 */
@FunctionalInterface
interface BackendObserver {

	/**
	 * The backend server accepts no connection.
	 */
	void unreachable();

	/**
	 * The backend server has answered.
	 * @param load load that the answer states, empty if it states none or an impossible
	 * one
	 * @param coldMillis remaining cold time that the answer states
	 */
	default void answered(Optional<ServerLoad> load, OptionalLong coldMillis) {
	}

}
