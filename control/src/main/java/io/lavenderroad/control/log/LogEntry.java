package io.lavenderroad.control.log;

import java.util.Objects;

/**
 * Entry of the replicated log. The payload is not copied and must not be modified.
 *
 * @param index position in the log, starting at 1
 * @param term term of the leader that created the entry
 * @param kind kind of the payload
 * @param payload encoded content
 */
public record LogEntry(long index, long term, EntryKind kind, byte[] payload) {

	public LogEntry {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(payload, "payload");
	}

}
