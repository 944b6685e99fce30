package io.lavenderroad.control.raft;

import java.util.List;

import io.lavenderroad.control.log.LogEntry;

/**
 * Entries from the leader; without entries a heartbeat.
 *
 * @param term term of the leader
 * @param leaderId id of the leader
 * @param previousIndex index of the entry before the first one sent
 * @param previousTerm term of that entry
 * @param commitIndex index of the last committed entry
 * @param entries consecutive entries
 */
public record AppendRequest(long term, String leaderId, long previousIndex, long previousTerm, long commitIndex,
		List<LogEntry> entries) {

	public AppendRequest {
		entries = List.copyOf(entries);
	}

}
