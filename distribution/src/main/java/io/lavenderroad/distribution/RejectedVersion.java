package io.lavenderroad.distribution;

/**
 * A version that a node rejected. The last valid version of the node stays active.
 *
 * @param nodeId id of the node
 * @param version the rejected version
 * @param reason problems that the node found
 */
public record RejectedVersion(String nodeId, long version, String reason) {

}
