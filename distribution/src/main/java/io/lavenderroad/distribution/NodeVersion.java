package io.lavenderroad.distribution;

import java.util.Comparator;

/**
 * A node and its active version.
 *
 * @param nodeId id of the node
 * @param version active version, 0 for none
 */
public record NodeVersion(String nodeId, long version) {

	static final Comparator<NodeVersion> OLDEST_FIRST = Comparator.comparingLong(NodeVersion::version)
		.thenComparing(NodeVersion::nodeId);

}
