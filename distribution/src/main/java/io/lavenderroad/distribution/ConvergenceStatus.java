package io.lavenderroad.distribution;

import java.util.List;
import java.util.SortedMap;

/**
 * Convergence of the nodes of the mesh as reported to the control member. Reports travel
 * one hop per second, so the values can be as many seconds old as the tree has levels.
 *
 * @param version version that this control member publishes
 * @param versions number of nodes by active version
 * @param laggingNodes nodes with an older version, oldest first, at most 32
 * @param rejected versions that nodes rejected, at most 32
 * @param unreachableNodes ids of nodes whose lease expired, at most 32
 * @param unreachableCount number of nodes whose lease expired in the last 10 minutes
 * @param depth longest path from a root to a node, in hops
 * @param bytesSent control bytes sent by all attached nodes and this control member
 * @param bytesReceived control bytes received by them
 */
public record ConvergenceStatus(long version, SortedMap<Long, Integer> versions, List<NodeVersion> laggingNodes,
		List<RejectedVersion> rejected, List<String> unreachableNodes, int unreachableCount, int depth, long bytesSent,
		long bytesReceived) {

	/**
	 * Returns the number of attached nodes.
	 * @return number of nodes in the reports
	 */
	public int nodes() {
		return this.versions.values().stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * Returns whether the published version is active on every attached node.
	 * @return true if no node lags
	 */
	public boolean converged() {
		return this.versions.isEmpty() || this.versions.firstKey() >= this.version;
	}

}
