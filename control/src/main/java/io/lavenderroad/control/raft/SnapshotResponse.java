package io.lavenderroad.control.raft;

/**
 * Answer to a {@link SnapshotChunk}.
 *
 * @param term term of the follower
 * @param nextOffset offset of the part that the follower needs next
 * @param installed whether the follower has this state, durably
 */
public record SnapshotResponse(long term, int nextOffset, boolean installed) {

}
