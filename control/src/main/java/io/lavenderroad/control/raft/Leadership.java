package io.lavenderroad.control.raft;

import java.util.Objects;
import java.util.Optional;

/**
 * Who leads the group, as one member sees it.
 *
 * @param term term of the member
 * @param leader the leader, if known
 * @param local whether the member itself leads
 * @param ready whether the member leads and has applied all entries of earlier terms, so
 * that decisions may be based on its state machine
 */
public record Leadership(long term, Optional<String> leader, boolean local, boolean ready) {

	public Leadership {
		Objects.requireNonNull(leader, "leader");
	}

}
