package io.lavenderroad.control.log;

import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Encoding of an entry on disk. Numbers are big-endian: length of the body (4 bytes),
 * CRC32C of length and body (4), then the body: index (8), term (8), durable index (8),
 * kind (1), payload.
 *
 * @param entry the entry
 * @param durableIndex index of the last entry that was synced when this record was
 * written. A damaged record with an index up to this one had been durable, so it is not
 * an incomplete (torn) write.
 * @param size size of the record in bytes
 */
record LogRecord(LogEntry entry, long durableIndex, int size) {

	private static final int HEADER_BYTES = 8;

	private static final int FIXED_BODY_BYTES = 25;

	/**
	 * Size of a record with an empty payload in bytes.
	 */
	static final int MINIMUM_BYTES = HEADER_BYTES + FIXED_BODY_BYTES;

	static int size(LogEntry entry) {
		return MINIMUM_BYTES + entry.payload().length;
	}

	static ByteBuffer encode(Collection<LogEntry> entries, long durableIndex) {
		int total = entries.stream().mapToInt(LogRecord::size).sum();
		ByteBuffer buffer = ByteBuffer.allocate(total);
		for (LogEntry entry : entries) {
			int start = buffer.position();
			int length = FIXED_BODY_BYTES + entry.payload().length;
			buffer.putInt(length);
			buffer.putInt(0);
			buffer.putLong(entry.index());
			buffer.putLong(entry.term());
			buffer.putLong(durableIndex);
			buffer.put((byte) entry.kind().code());
			buffer.put(entry.payload());
			buffer.putInt(start + Integer.BYTES, checksum(buffer.array(), start, length));
		}
		return buffer.flip();
	}

	/**
	 * Decodes the record at an offset.
	 * @param bytes content of a segment
	 * @param offset offset of the record
	 * @return the record, or empty if it is incomplete or its checksum does not match
	 */
	static Optional<LogRecord> parse(byte[] bytes, int offset) {
		if (bytes.length - offset < MINIMUM_BYTES) {
			return Optional.empty();
		}
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		int length = buffer.getInt(offset);
		if (length < FIXED_BODY_BYTES || length > bytes.length - offset - HEADER_BYTES) {
			return Optional.empty();
		}
		if (buffer.getInt(offset + Integer.BYTES) != checksum(bytes, offset, length)) {
			return Optional.empty();
		}
		buffer.position(offset + HEADER_BYTES);
		long index = buffer.getLong();
		long term = buffer.getLong();
		long durableIndex = buffer.getLong();
		EntryKind kind = EntryKind.of(buffer.get());
		byte[] payload = new byte[length - FIXED_BODY_BYTES];
		buffer.get(payload);
		return Optional
			.of(new LogRecord(new LogEntry(index, term, kind, payload), durableIndex, HEADER_BYTES + length));
	}

	/**
	 * Searches the bytes after a damaged record for a record that proves that the damaged
	 * one was durable. A valid record after it is proof only if its durable index covers
	 * the damaged record, as the writes of one batch reach the disk in any order.
	 * @param bytes content of a segment
	 * @param offset offset of the damaged record
	 * @param index index that the damaged record should have
	 * @return whether the damaged record had been synced
	 */
	static boolean wasDurable(byte[] bytes, int offset, long index) {
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		long maximumIndex = index + bytes.length / MINIMUM_BYTES;
		for (int position = offset + 1; position <= bytes.length - MINIMUM_BYTES; position++) {
			long candidate = buffer.getLong(position + HEADER_BYTES);
			if (candidate > index && candidate <= maximumIndex) {
				Optional<LogRecord> record = parse(bytes, position);
				if (record.isPresent() && record.get().durableIndex() >= index) {
					return true;
				}
			}
		}
		return false;
	}

	private static int checksum(byte[] bytes, int start, int length) {
		CRC32C checksum = new CRC32C();
		checksum.update(bytes, start, Integer.BYTES);
		checksum.update(bytes, start + HEADER_BYTES, length);
		return (int) checksum.getValue();
	}

}
