package io.lavenderroad.control.raft;

import java.util.List;

import io.lavenderroad.control.log.LogEntry;

/**
 * Log entries sent by the leader. A request without entries is a heartbeat.
 *
 * @param term term of the leader
 * @param leaderId id of the leader
 * @param previousIndex index of the entry before the first sent entry
 * @param previousTerm term of that entry
 * @param commitIndex commit index of the leader
 * @param entries entries with consecutive indexes
 */
public record AppendRequest(long term, String leaderId, long previousIndex, long previousTerm, long commitIndex,
		List<LogEntry> entries) {

	public AppendRequest {
		entries = List.copyOf(entries);
	}

}
