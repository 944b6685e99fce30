package io.lavenderroad.node;

import java.util.function.Consumer;

import io.lavenderroad.model.EndpointState;
import io.lavenderroad.policy.calls.Pace;

/**
 * State of the local backend server, as its node observes or receives it.
 */
interface LocalBackend {

	/**
	 * Returns the state that the node announces to the mesh.
	 * @return the state
	 */
	EndpointState state();

	/**
	 * Returns whether a call for a service and version may run there now.
	 * @param service name of the service
	 * @param version backend server version
	 * @return true if the local backend server serves that version and accepts work
	 */
	boolean serves(String service, String version);

	/**
	 * Returns the id that the backend server announced.
	 * @return the id, empty if it announced none
	 */
	String backendId();

	/**
	 * Returns whether the backend server reports that it is healthy.
	 * @return the last report
	 */
	boolean isHealthy();

	/**
	 * Returns the number of running requests that the backend server reports.
	 * @return count, 0 if it reports none
	 */
	int reportedRunning();

	/**
	 * Returns whether the backend server tolerates only the rate that its service states
	 * for cold servers.
	 * @return true while it is cold, or not known to be warm
	 */
	boolean isCold();

	/**
	 * Treats the backend server as cold until it states the opposite. Must not block or
	 * announce anything, since it may be called with a lock of the mesh view held.
	 */
	void treatAsCold();

	/**
	 * Records the remaining cold time that the backend server stated with an answer.
	 * @param remainingMillis remaining time in milliseconds, above 0
	 */
	void observeCold(long remainingMillis);

	/**
	 * Sets the receiver of events that restrict the pace of the backend server.
	 * @param receiver the receiver; may be called with a lock held, must not block
	 */
	void onSetback(Consumer<Pace.Cause> receiver);

	/**
	 * Announces that the backend server accepts no new work because this node is leaving.
	 */
	void drain();

	/**
	 * Records that the backend server accepts no connections.
	 */
	void unreachable();

	/**
	 * Checks the backend server. Called once a second, always on the same thread.
	 */
	void poll();

}
