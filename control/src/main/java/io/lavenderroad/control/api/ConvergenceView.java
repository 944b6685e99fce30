package io.lavenderroad.control.api;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What this member knows of the versions that are active on nodes.
 */
@FunctionalInterface
public interface ConvergenceView {

	/**
	 * Returns the present state.
	 * @return the state
	 */
	Convergence convergence();

	/**
	 * Versions that are active on nodes.
	 *
	 * @param nodesByVersion number of nodes by active version, 0 for none
	 * @param lagging nodes that lag, up to a bound
	 * @param rejected versions that nodes rejected, up to a bound
	 */
	record Convergence(SortedMap<Long, Integer> nodesByVersion, List<LaggingNode> lagging,
			List<RejectedVersion> rejected) {

		public Convergence {
			nodesByVersion = Collections.unmodifiableSortedMap(new TreeMap<>(nodesByVersion));
			lagging = List.copyOf(lagging);
			rejected = List.copyOf(rejected);
		}

		/**
		 * Returns the number of nodes.
		 * @return the sum over all versions
		 */
		public int nodes() {
			return this.nodesByVersion.values().stream().mapToInt(Integer::intValue).sum();
		}

		/**
		 * Counts the nodes at or above a version.
		 * @param version the version
		 * @return the number of nodes
		 */
		public int nodesAtLeast(long version) {
			Map<Long, Integer> reached = this.nodesByVersion.tailMap(version);
			return reached.values().stream().mapToInt(Integer::intValue).sum();
		}

	}

	/**
	 * Node that lags.
	 *
	 * @param nodeId id of the node
	 * @param activeVersion version active on it, 0 for none
	 * @param silentMillis time since it was last heard of
	 */
	record LaggingNode(String nodeId, long activeVersion, long silentMillis) {

	}

	/**
	 * Version that a node rejected.
	 *
	 * @param nodeId id of the node
	 * @param version the version
	 * @param reason reason given by the node
	 */
	record RejectedVersion(String nodeId, long version, String reason) {

	}

}
