package io.lavenderroad.model.rendering;

import java.util.List;

/**
 * Changes to one service that exists both before and after a change.
 *
 * @param service name of the service
 * @param routesAdded names of the new routes
 * @param routesRemoved names of the removed routes
 * @param routesModified changes of routes, such as
 * {@code orders: timeout 1000 ms -> 2000 ms}
 * @param settingsModified changes of other settings
 */
public record ServiceDifference(String service, List<String> routesAdded, List<String> routesRemoved,
		List<String> routesModified, List<String> settingsModified) {

	public ServiceDifference {
		routesAdded = List.copyOf(routesAdded);
		routesRemoved = List.copyOf(routesRemoved);
		routesModified = List.copyOf(routesModified);
		settingsModified = List.copyOf(settingsModified);
	}

	/**
	 * Returns whether the routes and settings of the service are unchanged; its traffic
	 * split may differ.
	 * @return true if nothing is listed
	 */
	public boolean isEmpty() {
		return this.routesAdded.isEmpty() && this.routesRemoved.isEmpty() && this.routesModified.isEmpty()
				&& this.settingsModified.isEmpty();
	}

}
