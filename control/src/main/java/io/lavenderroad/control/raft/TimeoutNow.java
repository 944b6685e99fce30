package io.lavenderroad.control.raft;

/**
 * One-way message by which a leader hands its leadership over: the receiver starts an
 * election at once.
 *
 * @param term term of the leader
 * @param leaderId id of the leader
 */
public record TimeoutNow(long term, String leaderId) {

}
