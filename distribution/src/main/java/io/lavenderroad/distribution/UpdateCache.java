package io.lavenderroad.distribution;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.lavenderroad.distribution.DistributionMessages.Delta;
import io.lavenderroad.distribution.DistributionMessages.WholeSlice;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.Scope;

/**
 * Cache of updates to the newest version. Children in the same state share one update,
 * which is composed and encoded once.
 */
final class UpdateCache {

	private volatile Updates newest = new Updates(MeshConfiguration.EMPTY);

	/**
	 * Returns the delta for a child.
	 * @param current active version of this process
	 * @param fromVersion active version of the child
	 * @param names names of the services that the child holds
	 * @param scope services that the child needs
	 * @return the delta, or empty if the child needs the whole slice
	 */
	Optional<Delta> delta(MeshConfiguration current, long fromVersion, Set<String> names, Scope scope) {
		return updates(current).deltas()
			.computeIfAbsent(new DeltaKey(fromVersion, Set.copyOf(names), scope),
					(key) -> current.deltaFrom(key.fromVersion(), key.names(), key.scope()).map(Delta::new));
	}

	/**
	 * Returns the whole slice for a child.
	 * @param current active version of this process
	 * @param scope services that the child needs
	 * @return the slice
	 */
	WholeSlice whole(MeshConfiguration current, Scope scope) {
		return updates(current).slices().computeIfAbsent(scope, (key) -> {
			MeshConfiguration slice = current.slice(key);
			return new WholeSlice(key.all(), slice.digest(), slice);
		});
	}

	private Updates updates(MeshConfiguration current) {
		Updates present = this.newest;
		if (present.version() != current) {
			present = new Updates(current);
			this.newest = present;
		}
		return present;
	}

	private record DeltaKey(long fromVersion, Set<String> names, Scope scope) {

	}

	private record Updates(MeshConfiguration version, Map<DeltaKey, Optional<Delta>> deltas,
			Map<Scope, WholeSlice> slices) {

		Updates(MeshConfiguration version) {
			this(version, new ConcurrentHashMap<>(), new ConcurrentHashMap<>());
		}

	}

}
