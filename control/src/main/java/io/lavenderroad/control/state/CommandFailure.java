package io.lavenderroad.control.state;

import java.util.Objects;
import java.util.Optional;

import io.lavenderroad.core.ExecutionVerdict;

/**
 * Why a command was not committed, as far as this member knows.
 *
 * @param verdict {@code NOT_RUN} if the command never becomes effective,
 * {@code MAY_HAVE_RUN} if nobody can tell yet
 * @param reason a short sentence
 * @param leaderAddress {@code ip:port} of the leader's HTTP API, if this member is not
 * the leader and knows it
 */
public record CommandFailure(ExecutionVerdict verdict, String reason, Optional<String> leaderAddress) {

	public CommandFailure {
		Objects.requireNonNull(verdict, "verdict");
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(leaderAddress, "leaderAddress");
	}

}
