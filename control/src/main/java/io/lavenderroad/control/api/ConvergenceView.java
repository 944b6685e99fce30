package io.lavenderroad.control.api;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Provides the versions that are active on the nodes, as reported to this member.
 */
@FunctionalInterface
public interface ConvergenceView {

	/**
	 * Returns the current state.
	 * @return the state
	 */
	Convergence convergence();

	/**
	 * Versions that are active on nodes.
	 *
	 * @param nodesByVersion number of nodes by active version; version 0 stands for nodes
	 * without one
	 * @param lagging lagging nodes, up to a maximum number
	 * @param rejected versions that nodes rejected, up to a maximum number
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
		 * Returns the number of nodes whose active version is a version or a newer one.
		 * @param version the version
		 * @return the number of nodes
		 */
		public int nodesAtLeast(long version) {
			Map<Long, Integer> atLeast = this.nodesByVersion.tailMap(version);
			return atLeast.values().stream().mapToInt(Integer::intValue).sum();
		}

	}

	/**
	 * Node whose active version is older than the mesh version.
	 *
	 * @param nodeId id of the node
	 * @param activeVersion version active on it, 0 for none
	 * @param silentMillis time since its last report in milliseconds
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
