package io.lavenderroad.control.raft;

/**
 * Request to become a member of the group.
 *
 * @param id id of the process
 * @param address {@code ip:port} of its frame server
 */
public record JoinRequest(String id, String address) {

}
