package io.lavenderroad.model;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Content changes that lead from one mesh version to the next.
 *
 * @param services services that are new or changed
 * @param removedServices names of the services that are removed
 * @param routes routes that are new or changed
 * @param removedRoutes names of the routes that are removed
 * @param limits new limits for callers, or empty to keep the active ones
 */
public record ConfigurationEdit(List<ServiceConfiguration> services, List<String> removedServices,
		List<HostRoute> routes, List<String> removedRoutes, Optional<CallerLimits> limits) {

	public ConfigurationEdit {
		services = List.copyOf(services);
		removedServices = List.copyOf(removedServices);
		routes = List.copyOf(routes);
		removedRoutes = List.copyOf(removedRoutes);
	}

	/**
	 * Creates an edit that changes services only.
	 * @param changed services that are new or changed
	 * @param removed names of the services that are removed
	 * @return the edit
	 */
	public static ConfigurationEdit ofServices(Collection<ServiceConfiguration> changed, Collection<String> removed) {
		return new ConfigurationEdit(List.copyOf(changed), List.copyOf(removed), List.of(), List.of(),
				Optional.empty());
	}

}
