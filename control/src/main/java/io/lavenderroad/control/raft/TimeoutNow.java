package io.lavenderroad.control.raft;

/**
 * One-way message that transfers leadership: the receiver starts an election immediately.
 *
 * @param term term of the leader
 * @param leaderId id of the leader
 */
public record TimeoutNow(long term, String leaderId) {

}
