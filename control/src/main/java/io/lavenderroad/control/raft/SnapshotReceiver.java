package io.lavenderroad.control.raft;

import java.util.Optional;
import java.util.zip.CRC32C;

import io.lavenderroad.control.log.Snapshot;

/**
 * Assembles a snapshot from its chunks. Guarded by the lock of {@link ControlMember}.
 */
final class SnapshotReceiver {

	/**
	 * Maximum accepted size of a state in bytes. A chunk that announces a larger state is
	 * rejected before memory is allocated.
	 */
	private static final int MAXIMUM_BYTES = 256 * 1024 * 1024;

	private long index;

	private long term;

	private int checksum;

	private byte[] data = new byte[0];

	private int receivedBytes;

	/**
	 * Adds a chunk. A chunk at an unexpected offset is ignored.
	 * @param chunk the chunk
	 * @return the snapshot once it is complete and its checksum matches
	 */
	Optional<Snapshot> add(SnapshotChunk chunk) {
		if (chunk.totalBytes() < 0 || chunk.totalBytes() > MAXIMUM_BYTES) {
			throw new IllegalArgumentException(
					"snapshot of " + chunk.totalBytes() + " bytes is outside 0 to " + MAXIMUM_BYTES);
		}
		if (!continuesSnapshot(chunk)) {
			restart(chunk);
		}
		if (chunk.offset() == this.receivedBytes && chunk.bytes().length <= this.data.length - this.receivedBytes) {
			System.arraycopy(chunk.bytes(), 0, this.data, this.receivedBytes, chunk.bytes().length);
			this.receivedBytes += chunk.bytes().length;
		}
		if (this.receivedBytes < this.data.length) {
			return Optional.empty();
		}
		byte[] complete = this.data;
		clear();
		if (checksum(complete) != chunk.checksum()) {
			return Optional.empty();
		}
		return Optional.of(new Snapshot(chunk.snapshotIndex(), chunk.snapshotTerm(), chunk.members(), complete));
	}

	int nextOffset() {
		return this.receivedBytes;
	}

	static int checksum(byte[] data) {
		CRC32C checksum = new CRC32C();
		checksum.update(data);
		return (int) checksum.getValue();
	}

	private boolean continuesSnapshot(SnapshotChunk chunk) {
		return chunk.snapshotIndex() == this.index && chunk.snapshotTerm() == this.term
				&& chunk.checksum() == this.checksum && chunk.totalBytes() == this.data.length;
	}

	private void restart(SnapshotChunk chunk) {
		this.index = chunk.snapshotIndex();
		this.term = chunk.snapshotTerm();
		this.checksum = chunk.checksum();
		this.data = new byte[chunk.totalBytes()];
		this.receivedBytes = 0;
	}

	private void clear() {
		this.index = 0;
		this.data = new byte[0];
		this.receivedBytes = 0;
	}

}
