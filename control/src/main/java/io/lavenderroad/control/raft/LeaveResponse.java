package io.lavenderroad.control.raft;

import java.util.Objects;
import java.util.Optional;

/**
 * Response to a {@link LeaveRequest}.
 *
 * @param released whether the process may end: its removal is committed, or the group
 * keeps it as a voter
 * @param leaderAddress {@code ip:port} of the leader, if the responding member is a
 * follower and has a leader
 */
public record LeaveResponse(boolean released, Optional<String> leaderAddress) {

	public LeaveResponse {
		Objects.requireNonNull(leaderAddress, "leaderAddress");
	}

}
