package io.lavenderroad.control.log;

import java.util.Objects;
import java.util.Optional;

/**
 * What a member must not forget about elections.
 *
 * @param term the newest term that the member has seen
 * @param votedFor id of the candidate that got the vote of the member in this term
 */
public record TermAndVote(long term, Optional<String> votedFor) {

	public TermAndVote {
		Objects.requireNonNull(votedFor, "votedFor");
	}

}
