package io.lavenderroad.model;

import java.util.List;
import java.util.Optional;

/**
 * What a node knows of the mesh at this moment. Distribution implements it, the proxy
 * reads it for each call.
 */
public interface MeshView {

	/**
	 * Returns the configuration in force. It is empty until the node may serve: until its
	 * version floor is confirmed and a whole slice at or above the floor is in force.
	 * @return the slice in force
	 */
	Optional<MeshConfiguration> configuration();

	/**
	 * Returns the known endpoints of a service in every state but expired.
	 * @param service name of the service
	 * @return endpoints in the order of the node ids
	 */
	List<Endpoint> endpoints(String service);

	/**
	 * Tells how current the configuration in force is. A view that cannot fall behind is
	 * always current.
	 * @return age of the last word from a root and the newest version heard of
	 */
	default ConfigurationFreshness freshness() {
		return ConfigurationFreshness.CURRENT;
	}

	/**
	 * Calls a listener after each switch to another configuration and after each change
	 * of endpoints.
	 * @param listener called on the task that made the change; must not block
	 */
	void onChange(Runnable listener);

}
