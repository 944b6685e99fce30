package io.lavenderroad.control.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Name and content of a snapshot file: index and term of the last entry (8 bytes each),
 * size of the member set (4 bytes), member set, state.
 */
final class SnapshotFile {

	private static final String PREFIX = "snapshot-";

	private SnapshotFile() {
	}

	static String name(long index) {
		return String.format(Locale.ROOT, "%s%019d", PREFIX, index);
	}

	static boolean isSnapshot(String name) {
		return name.startsWith(PREFIX) && !name.endsWith(AtomicFile.TEMPORARY_SUFFIX);
	}

	static byte[] encode(Snapshot snapshot) {
		ByteBuffer buffer = ByteBuffer
			.allocate(2 * Long.BYTES + Integer.BYTES + snapshot.members().length + snapshot.data().length);
		buffer.putLong(snapshot.index()).putLong(snapshot.term());
		buffer.putInt(snapshot.members().length).put(snapshot.members()).put(snapshot.data());
		return buffer.array();
	}

	/**
	 * Reads a snapshot file.
	 * @param files the file system
	 * @param file the file
	 * @return the snapshot
	 * @throws LogCorruptionException if the file is damaged
	 * @throws IOException if it cannot be read
	 */
	static Snapshot read(StorageFileSystem files, Path file) throws IOException {
		ByteBuffer buffer = ByteBuffer.wrap(AtomicFile.read(files, file));
		if (buffer.remaining() < 2 * Long.BYTES + Integer.BYTES) {
			throw new LogCorruptionException(file, Integer.BYTES, "file ends before the index");
		}
		long index = buffer.getLong();
		long term = buffer.getLong();
		int length = buffer.getInt();
		if (length < 0 || length > buffer.remaining()) {
			throw new LogCorruptionException(file, Integer.BYTES, "member set of " + length + " bytes does not fit");
		}
		byte[] members = new byte[length];
		buffer.get(members);
		byte[] data = new byte[buffer.remaining()];
		buffer.get(data);
		return new Snapshot(index, term, members, data);
	}

}
