package io.lavenderroad.distribution;

import java.util.Comparator;

/**
 * A node and the version that it has in force.
 *
 * @param nodeId id of the node
 * @param version version in force, 0 for none
 */
public record NodeVersion(String nodeId, long version) {

	static final Comparator<NodeVersion> OLDEST_FIRST = Comparator.comparingLong(NodeVersion::version)
		.thenComparing(NodeVersion::nodeId);

}
