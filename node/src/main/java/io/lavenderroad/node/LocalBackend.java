package io.lavenderroad.node;

import io.lavenderroad.model.EndpointState;

/**
 * What a node knows of the backend server beside it.
 */
interface LocalBackend {

	/**
	 * Returns the state that was announced last.
	 * @return the state
	 */
	EndpointState state();

	/**
	 * Tells whether a call for a service and version may run there now.
	 * @param service name of the service
	 * @param version backend server version
	 * @return true if this is the backend server that is meant
	 */
	boolean serves(String service, String version);

	/**
	 * Returns the id that the backend server announced.
	 * @return the id, empty if it announced none
	 */
	String backendId();

	/**
	 * Tells whether the backend server says that it is healthy.
	 * @return its last word
	 */
	boolean isHealthy();

	/**
	 * Returns the requests that the backend server says it runs.
	 * @return count, 0 if it does not say
	 */
	int reportedRunning();

	/**
	 * Announces that the backend server gets no new work because this node leaves.
	 */
	void drain();

	/**
	 * Is told that the backend server accepts no connections.
	 */
	void unreachable();

	/**
	 * Looks at the backend server. Called once a second on one task.
	 */
	void poll();

}
