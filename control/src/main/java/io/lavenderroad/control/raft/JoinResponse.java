package io.lavenderroad.control.raft;

import java.util.Objects;
import java.util.Optional;

/**
 * Response to a {@link JoinRequest}.
 *
 * @param member whether the process is in the member set
 * @param leaderAddress {@code ip:port} of the leader, if the responding member is a
 * follower and has a leader
 */
public record JoinResponse(boolean member, Optional<String> leaderAddress) {

	public JoinResponse {
		Objects.requireNonNull(leaderAddress, "leaderAddress");
	}

}
