package io.lavenderroad.control.log;

import java.util.Objects;
import java.util.Optional;

/**
 * State of elections that a member must keep durably.
 *
 * @param term the latest term that the member has seen
 * @param votedFor id of the candidate that the member voted for in this term, if any
 */
public record TermAndVote(long term, Optional<String> votedFor) {

	public TermAndVote {
		Objects.requireNonNull(votedFor, "votedFor");
	}

}
