package io.lavenderroad.control.raft;

import java.util.Objects;
import java.util.Optional;

/**
 * Answer to {@link JoinRequest}.
 *
 * @param member whether the process is in the member set
 * @param leaderAddress {@code ip:port} of the leader, if another member is known to lead
 */
public record JoinAnswer(boolean member, Optional<String> leaderAddress) {

	public JoinAnswer {
		Objects.requireNonNull(leaderAddress, "leaderAddress");
	}

}
