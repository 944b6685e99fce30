package io.lavenderroad.control.raft;

/**
 * Response to a {@link SnapshotChunk}.
 *
 * @param term term of the follower
 * @param nextOffset offset of the next chunk that the follower needs
 * @param installed whether the follower has durably stored this state
 */
public record SnapshotResponse(long term, int nextOffset, boolean installed) {

}
