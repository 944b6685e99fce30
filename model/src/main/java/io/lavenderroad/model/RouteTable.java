package io.lavenderroad.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request by host and longest path prefix.
 */
public final class RouteTable {

	private static final Comparator<HostRoute> LONGEST_FIRST = Comparator
		.comparingInt((HostRoute route) -> route.pathPrefix().length())
		.reversed();

	private final Map<String, List<HostRoute>> byHost = new HashMap<>();

	RouteTable(Collection<HostRoute> routes) {
		for (HostRoute route : routes) {
			this.byHost.computeIfAbsent(normalizedHost(route.host()), (host) -> new ArrayList<>()).add(route);
		}
		this.byHost.values().forEach((hostRoutes) -> hostRoutes.sort(LONGEST_FIRST));
	}

	/**
	 * Returns whether any route is for a host.
	 * @param host host of the request, with or without a port
	 * @return true if at least one route has this host
	 */
	public boolean containsHost(String host) {
		return this.byHost.containsKey(normalizedHost(host));
	}

	/**
	 * Finds the route of the host with the longest matching path prefix.
	 * @param host host of the request, with or without a port
	 * @param path path without query
	 * @return the route, or empty if none matches
	 */
	public Optional<HostRoute> find(String host, String path) {
		for (HostRoute route : this.byHost.getOrDefault(normalizedHost(host), List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	private static String normalizedHost(String host) {
		int colon = host.lastIndexOf(':');
		return ((colon > 0) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
	}

}
