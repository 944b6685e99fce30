package io.lavenderroad.control.raft;

/**
 * Request of a voter whose process is about to end. The leader removes it from the group
 * if the group has more voters than its target.
 *
 * @param id id of the process
 */
public record LeaveRequest(String id) {

}
