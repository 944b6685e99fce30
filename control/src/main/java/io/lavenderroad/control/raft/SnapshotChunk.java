package io.lavenderroad.control.raft;

/**
 * A chunk of a snapshot sent by the leader.
 *
 * @param term term of the leader
 * @param leaderId id of the leader
 * @param snapshotIndex index of the last entry in the snapshot
 * @param snapshotTerm term of that entry
 * @param members encoded member set at that entry
 * @param totalBytes size of the whole state in bytes
 * @param checksum CRC32C of the whole state
 * @param offset offset of the chunk in the state, in bytes
 * @param bytes the data of the chunk
 */
public record SnapshotChunk(long term, String leaderId, long snapshotIndex, long snapshotTerm, byte[] members,
		int totalBytes, int checksum, int offset, byte[] bytes) {

}
