package io.lavenderroad.control.raft;

/**
 * One-way message that reports a new commit index to followers before the next heartbeat.
 *
 * @param term term of the leader
 * @param leaderId id of the leader
 * @param commitIndex index of the last committed entry
 */
public record CommitNotice(long term, String leaderId, long commitIndex) {

}
