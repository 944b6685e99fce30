package io.lavenderroad.distribution;

import java.util.List;
import java.util.SortedMap;

/**
 * How far the nodes of the mesh are, as far as the control member knows. Reports travel
 * one hop a second, so the figures can be as old as the tree is deep, in seconds.
 *
 * @param version version that this control member publishes
 * @param versions number of nodes by version in force
 * @param laggards nodes with an older version, oldest first, at most 32
 * @param rejected versions that nodes refused to apply, at most 32
 * @param unreachableNodes ids of nodes whose lease ran out, at most 32
 * @param unreachableCount number of nodes whose lease ran out in the last 10 minutes
 * @param depth longest path from a root to a node, in hops
 * @param bytesSent control bytes sent by all attached nodes and this control member
 * @param bytesReceived control bytes received by them
 */
public record ConvergenceStatus(long version, SortedMap<Long, Integer> versions, List<NodeVersion> laggards,
		List<RejectedVersion> rejected, List<String> unreachableNodes, int unreachableCount, int depth, long bytesSent,
		long bytesReceived) {

	/**
	 * Returns the number of attached nodes.
	 * @return nodes that reported a version in force
	 */
	public int nodes() {
		return this.versions.values().stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * Tells whether every attached node has the published version in force.
	 * @return true if no node lags
	 */
	public boolean converged() {
		return this.versions.isEmpty() || this.versions.firstKey() >= this.version;
	}

}
