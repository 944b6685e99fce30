package io.lavenderroad.model;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedSet;

/**
 * Content changes that lead from one mesh version to the next.
 *
 * @param services services that are new or changed
 * @param removedServices names of the services that are removed
 * @param routes routes that are new or changed
 * @param removedRoutes names of the routes that are removed
 * @param limits new limits for callers, or empty to keep the active ones
 * @param teams changes of the teams
 * @param evacuatedDomains new set of evacuated failure domains, or empty to keep the
 * active one
 */
public record ConfigurationEdit(List<ServiceConfiguration> services, List<String> removedServices,
		List<HostRoute> routes, List<String> removedRoutes, Optional<CallerLimits> limits, TeamEdit teams,
		Optional<SortedSet<String>> evacuatedDomains) {

	public ConfigurationEdit {
		services = List.copyOf(services);
		removedServices = List.copyOf(removedServices);
		routes = List.copyOf(routes);
		removedRoutes = List.copyOf(removedRoutes);
		Objects.requireNonNull(teams, "teams");
	}

	/**
	 * Creates an edit that changes neither teams nor evacuations.
	 * @param services services that are new or changed
	 * @param removedServices names of the services that are removed
	 * @param routes routes that are new or changed
	 * @param removedRoutes names of the routes that are removed
	 * @param limits new limits for callers, or empty to keep the active ones
	 */
	public ConfigurationEdit(List<ServiceConfiguration> services, List<String> removedServices, List<HostRoute> routes,
			List<String> removedRoutes, Optional<CallerLimits> limits) {
		this(services, removedServices, routes, removedRoutes, limits, TeamEdit.NONE, Optional.empty());
	}

	/**
	 * Creates an edit that only replaces the set of evacuated failure domains.
	 * @param failureDomains the evacuated failure domains
	 * @return the edit
	 */
	public static ConfigurationEdit ofEvacuations(SortedSet<String> failureDomains) {
		return new ConfigurationEdit(List.of(), List.of(), List.of(), List.of(), Optional.empty(), TeamEdit.NONE,
				Optional.of(failureDomains));
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
