package io.lavenderroad.control.raft;

/**
 * A part of a snapshot from the leader.
 *
 * @param term term of the leader
 * @param leaderId id of the leader
 * @param snapshotIndex index of the last entry in the snapshot
 * @param snapshotTerm term of that entry
 * @param members encoded member set at that entry
 * @param totalBytes size of the whole state
 * @param checksum CRC32C of the whole state
 * @param offset where the part starts
 * @param bytes the part
 */
public record SnapshotChunk(long term, String leaderId, long snapshotIndex, long snapshotTerm, byte[] members,
		int totalBytes, int checksum, int offset, byte[] bytes) {

}
