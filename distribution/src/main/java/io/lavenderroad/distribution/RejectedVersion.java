package io.lavenderroad.distribution;

/**
 * A version that a node refused to apply. Its last good version stays in force.
 *
 * @param nodeId id of the node
 * @param version the refused version
 * @param reason what the node found wrong
 */
public record RejectedVersion(String nodeId, long version, String reason) {

}
