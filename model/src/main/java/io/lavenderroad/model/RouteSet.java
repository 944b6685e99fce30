package io.lavenderroad.model;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All routes that are chosen by host. Removals are remembered for a while, so that a
 * receiver of any recent version can be sent a difference without a record of what it
 * holds.
 */
public final class RouteSet {

	/**
	 * No routes.
	 */
	public static final RouteSet EMPTY = new RouteSet(new TreeMap<>(), new TreeMap<>(), 0, 0);

	/**
	 * Removals that are remembered. A receiver that missed more gets the whole slice.
	 */
	static final int MOST_REMOVALS = 2_000;

	private final SortedMap<String, HostRoute> routes;

	private final SortedMap<String, Long> removals;

	private final long rememberedFrom;

	private final long fingerprint;

	private volatile RouteTable table;

	private RouteSet(SortedMap<String, HostRoute> routes, SortedMap<String, Long> removals, long rememberedFrom,
			long fingerprint) {
		this.routes = Collections.unmodifiableSortedMap(routes);
		this.removals = Collections.unmodifiableSortedMap(removals);
		this.rememberedFrom = rememberedFrom;
		this.fingerprint = fingerprint;
	}

	/**
	 * Creates a set.
	 * @param routes the routes
	 * @param removals mesh version that removed a route, by the name of the route
	 * @param rememberedFrom smallest version from which the removals are complete
	 * @return the set
	 */
	public static RouteSet of(Collection<HostRoute> routes, SortedMap<String, Long> removals, long rememberedFrom) {
		TreeMap<String, HostRoute> byName = new TreeMap<>();
		routes.forEach((route) -> byName.put(route.name(), route));
		return new RouteSet(byName, new TreeMap<>(removals), rememberedFrom, HostRoute.fingerprint(byName.values()));
	}

	/**
	 * Returns the routes.
	 * @return routes in the order of their names
	 */
	public Collection<HostRoute> all() {
		return this.routes.values();
	}

	/**
	 * Finds a route.
	 * @param name name of the route
	 * @return the route
	 */
	public Optional<HostRoute> find(String name) {
		return Optional.ofNullable(this.routes.get(name));
	}

	/**
	 * Returns the table that finds the route of a request.
	 * @return the table, built at the first call
	 */
	public RouteTable table() {
		RouteTable built = this.table;
		if (built == null) {
			built = new RouteTable(this.routes.values());
			this.table = built;
		}
		return built;
	}

	/**
	 * Returns the removals.
	 * @return mesh version that removed a route, by the name of the route
	 */
	public SortedMap<String, Long> removals() {
		return this.removals;
	}

	/**
	 * Returns from which version on the removals are complete.
	 * @return the version
	 */
	public long rememberedFrom() {
		return this.rememberedFrom;
	}

	/**
	 * Returns the sum of the fingerprints of the routes.
	 * @return the sum, equal for equal sets
	 */
	public long fingerprint() {
		return this.fingerprint;
	}

	/**
	 * Returns the routes that a receiver of an older version lacks.
	 * @param version version of the receiver
	 * @return routes that are newer
	 */
	List<HostRoute> changedSince(long version) {
		return this.routes.values().stream().filter((route) -> route.modifiedVersion() > version).toList();
	}

	/**
	 * Returns the routes that were removed after a version.
	 * @param version version of the receiver
	 * @return their names
	 */
	List<String> removedSince(long version) {
		return this.removals.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > version)
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Applies a change and marks the changed routes with its version.
	 * @param version version of the change
	 * @param changed routes that are new or changed
	 * @param removed names of the routes that are removed
	 * @return the next set
	 */
	RouteSet edited(long version, Collection<HostRoute> changed, Collection<String> removed) {
		return received(version, changed.stream().map((route) -> route.modifiedIn(version)).toList(), removed);
	}

	/**
	 * Applies a change whose routes carry their versions.
	 * @param version version of the change
	 * @param changed routes that are new or changed
	 * @param removed names of the routes that are removed
	 * @return the next set
	 */
	RouteSet received(long version, Collection<HostRoute> changed, Collection<String> removed) {
		if (changed.isEmpty() && removed.isEmpty()) {
			return this;
		}
		TreeMap<String, HostRoute> next = new TreeMap<>(this.routes);
		TreeMap<String, Long> nextRemovals = new TreeMap<>(this.removals);
		long sum = this.fingerprint;
		for (String name : removed) {
			HostRoute before = next.remove(name);
			sum -= (before != null) ? before.fingerprint() : 0;
			nextRemovals.put(name, version);
		}
		for (HostRoute route : changed) {
			HostRoute before = next.put(route.name(), route);
			sum += route.fingerprint() - ((before != null) ? before.fingerprint() : 0);
			nextRemovals.remove(route.name());
		}
		return new RouteSet(next, nextRemovals, forget(nextRemovals), sum);
	}

	private long forget(TreeMap<String, Long> nextRemovals) {
		long from = this.rememberedFrom;
		while (nextRemovals.size() > MOST_REMOVALS) {
			long oldest = Collections.min(nextRemovals.values());
			nextRemovals.values().removeIf((removedIn) -> removedIn <= oldest);
			from = Math.max(from, oldest);
		}
		return from;
	}

}
