package io.lavenderroad.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lavenderroad.core.http.HttpAuthority;

/**
 * Finds the route of a request by host, port and longest path prefix. A route whose host
 * states no port is one of the default port. It also serves the requests to every other
 * port of its host that no route of that port serves.
 */
public final class RouteTable {

	private static final Comparator<HostRoute> LONGEST_FIRST = Comparator
		.comparingInt((HostRoute route) -> route.pathPrefix().length())
		.reversed();

	private final Map<String, RoutesOfHost> byHost = new HashMap<>();

	RouteTable(Collection<HostRoute> routes) {
		// Control members of earlier versions accepted hosts that no request can name.
		routes.forEach((route) -> HttpAuthority.parse(route.host()).ifPresent((authority) -> add(authority, route)));
		this.byHost.values().forEach(RoutesOfHost::sort);
	}

	private void add(HttpAuthority authority, HostRoute route) {
		this.byHost.computeIfAbsent(authority.host(), (host) -> new RoutesOfHost()).add(authority, route);
	}

	/**
	 * Returns whether any route is for the host of a request.
	 * @param authority host and port of the request
	 * @return true if at least one route has this host, with any port
	 */
	public boolean containsHost(HttpAuthority authority) {
		return this.byHost.containsKey(authority.host());
	}

	/**
	 * Finds the route with the longest matching path prefix among those of the port, then
	 * among those without a port.
	 * @param authority host and port of the request
	 * @param path path without query
	 * @return the route, or empty if none matches
	 */
	public Optional<HostRoute> find(HttpAuthority authority, String path) {
		return Optional.ofNullable(this.byHost.get(authority.host()))
			.flatMap((routes) -> routes.find(authority.port(), path));
	}

	/**
	 * The routes whose hosts differ at most in the port.
	 */
	private static final class RoutesOfHost {

		private final Map<Integer, List<HostRoute>> byPort = new HashMap<>();

		private final List<HostRoute> withoutPort = new ArrayList<>();

		void add(HttpAuthority authority, HostRoute route) {
			this.byPort.computeIfAbsent(authority.port(), (port) -> new ArrayList<>()).add(route);
			if (!authority.statesPort()) {
				this.withoutPort.add(route);
			}
		}

		void sort() {
			this.byPort.values().forEach((routes) -> routes.sort(LONGEST_FIRST));
			this.withoutPort.sort(LONGEST_FIRST);
		}

		Optional<HostRoute> find(int port, String path) {
			return first(this.byPort.getOrDefault(port, List.of()), path).or(() -> first(this.withoutPort, path));
		}

		private static Optional<HostRoute> first(List<HostRoute> routes, String path) {
			for (HostRoute route : routes) {
				if (path.startsWith(route.pathPrefix())) {
					return Optional.of(route);
				}
			}
			return Optional.empty();
		}

	}

}
