package io.lavenderroad.model;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All routes that are selected by host. A limited number of removals is recorded, so that
 * a delta can be computed for a receiver of any recent version without tracking the
 * routes that it holds.
 */
public final class RouteSet {

	/**
	 * No routes.
	 */
	public static final RouteSet EMPTY = new RouteSet(new TreeMap<>(), new TreeMap<>(), 0, 0);

	/**
	 * Maximum number of recorded removals. A receiver that missed more of them gets the
	 * whole slice.
	 */
	static final int MAXIMUM_REMOVALS = 2_000;

	private final SortedMap<String, HostRoute> routes;

	private final SortedMap<String, Long> removals;

	private final long removalsCompleteFrom;

	private final long fingerprint;

	private volatile RouteTable table;

	private RouteSet(SortedMap<String, HostRoute> routes, SortedMap<String, Long> removals, long removalsCompleteFrom,
			long fingerprint) {
		this.routes = Collections.unmodifiableSortedMap(routes);
		this.removals = Collections.unmodifiableSortedMap(removals);
		this.removalsCompleteFrom = removalsCompleteFrom;
		this.fingerprint = fingerprint;
	}

	/**
	 * Creates a set.
	 * @param routes the routes
	 * @param removals mesh version that removed a route, by the name of the route
	 * @param removalsCompleteFrom lowest version of a receiver for which the recorded
	 * removals are complete
	 * @return the set
	 */
	public static RouteSet of(Collection<HostRoute> routes, SortedMap<String, Long> removals,
			long removalsCompleteFrom) {
		TreeMap<String, HostRoute> byName = new TreeMap<>();
		routes.forEach((route) -> byName.put(route.name(), route));
		return new RouteSet(byName, new TreeMap<>(removals), removalsCompleteFrom,
				HostRoute.fingerprint(byName.values()));
	}

	/**
	 * Returns the routes.
	 * @return routes in the order of their names
	 */
	public Collection<HostRoute> all() {
		return this.routes.values();
	}

	public Optional<HostRoute> find(String name) {
		return Optional.ofNullable(this.routes.get(name));
	}

	/**
	 * Returns the table that finds the route of a request.
	 * @return the table, built on first use
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
	 * Returns the recorded removals.
	 * @return mesh version that removed a route, by the name of the route
	 */
	public SortedMap<String, Long> removals() {
		return this.removals;
	}

	/**
	 * Returns the lowest version of a receiver for which the recorded removals are
	 * complete.
	 * @return the version
	 */
	public long removalsCompleteFrom() {
		return this.removalsCompleteFrom;
	}

	/**
	 * Returns the sum of the fingerprints of the routes.
	 * @return the sum, equal for equal sets
	 */
	public long fingerprint() {
		return this.fingerprint;
	}

	/**
	 * Returns the routes that were added or changed after a version.
	 * @param version version of the receiver
	 * @return routes that were modified later
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
	 * Applies an edit and sets the modified version of the changed routes.
	 * @param version version of the edit
	 * @param changed routes that are new or changed
	 * @param removed names of the routes that are removed
	 * @return the next set
	 */
	RouteSet next(long version, Collection<HostRoute> changed, Collection<String> removed) {
		return apply(version, changed.stream().map((route) -> route.withModifiedVersion(version)).toList(), removed);
	}

	/**
	 * Applies a delta, whose routes already carry their modified versions.
	 * @param version version of the delta
	 * @param changed routes that are new or changed
	 * @param removed names of the routes that are removed
	 * @return the next set
	 */
	RouteSet apply(long version, Collection<HostRoute> changed, Collection<String> removed) {
		if (changed.isEmpty() && removed.isEmpty()) {
			return this;
		}
		TreeMap<String, HostRoute> nextRoutes = new TreeMap<>(this.routes);
		TreeMap<String, Long> nextRemovals = new TreeMap<>(this.removals);
		long nextFingerprint = this.fingerprint;
		for (String name : removed) {
			HostRoute previous = nextRoutes.remove(name);
			nextFingerprint -= (previous != null) ? previous.fingerprint() : 0;
			nextRemovals.put(name, version);
		}
		for (HostRoute route : changed) {
			HostRoute previous = nextRoutes.put(route.name(), route);
			nextFingerprint += route.fingerprint() - ((previous != null) ? previous.fingerprint() : 0);
			nextRemovals.remove(route.name());
		}
		return new RouteSet(nextRoutes, nextRemovals, discardOldestRemovals(nextRemovals), nextFingerprint);
	}

	private long discardOldestRemovals(TreeMap<String, Long> nextRemovals) {
		long completeFrom = this.removalsCompleteFrom;
		while (nextRemovals.size() > MAXIMUM_REMOVALS) {
			long oldest = Collections.min(nextRemovals.values());
			nextRemovals.values().removeIf((removalVersion) -> removalVersion <= oldest);
			completeFrom = Math.max(completeFrom, oldest);
		}
		return completeFrom;
	}

}
