package io.lavenderroad.distribution;

import java.util.List;
import java.util.Optional;

/**
 * State of the distribution in one node.
 *
 * @param version version held, 0 for none; it is active if {@code serving}
 * @param serving whether the version floor is confirmed and the version is at or above it
 * @param parent id of the parent, or empty if detached
 * @param path ids from the root to the parent
 * @param children number of attached children
 * @param rootAgeMillis age of the last root confirmation
 * @param everything whether the node holds all services, as relays do
 * @param attaches number of times that the node has attached to a parent
 * @param droppedEvidenceReports how often evidence was dropped, because its report was
 * unacknowledged or had no receiver
 * @param bytesSent control bytes sent
 * @param bytesReceived control bytes received
 */
public record NodeStatus(long version, boolean serving, Optional<String> parent, List<String> path, int children,
		long rootAgeMillis, boolean everything, long attaches, long droppedEvidenceReports, long bytesSent,
		long bytesReceived) {

}
