package io.lavenderroad.model;

import java.util.List;
import java.util.Optional;

/**
 * The current view that a node has of the mesh. The distribution implements it, and the
 * proxy reads it for each call.
 */
public interface MeshView {

	/**
	 * Returns the active configuration. It is empty until the node may serve, that is,
	 * until its version floor is confirmed and a complete slice at or above the floor is
	 * active.
	 * @return the active slice
	 */
	Optional<MeshConfiguration> configuration();

	/**
	 * Returns the known endpoints of a service in every state except expired.
	 * @param service name of the service
	 * @return endpoints in the order of the node ids
	 */
	List<Endpoint> endpoints(String service);

	/**
	 * Returns how current the active configuration is. The default is for views that
	 * cannot fall behind, which are always current.
	 * @return age of the last root confirmation and the newest announced version
	 */
	default ConfigurationFreshness freshness() {
		return ConfigurationFreshness.CURRENT;
	}

	/**
	 * Registers a listener that is called after each switch to another configuration and
	 * after each change of endpoints.
	 * @param listener called on the task that made the change; must not block
	 */
	void onChange(Runnable listener);

}
