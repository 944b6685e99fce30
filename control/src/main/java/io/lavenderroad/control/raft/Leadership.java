package io.lavenderroad.control.raft;

import java.util.Objects;
import java.util.Optional;

/**
 * Leadership of the group from the view of one member.
 *
 * @param term term of the member
 * @param leader id of the leader, if known
 * @param local whether this member is the leader
 * @param ready whether this member is the leader and has applied all entries of earlier
 * terms, so that decisions can be based on its state machine
 */
public record Leadership(long term, Optional<String> leader, boolean local, boolean ready) {

	public Leadership {
		Objects.requireNonNull(leader, "leader");
	}

}
