package io.lavenderroad.control.state;

import java.util.Objects;
import java.util.Optional;

import io.lavenderroad.core.ExecutionVerdict;

/**
 * Reason why this member could not confirm that a command was committed.
 *
 * @param verdict {@code NOT_RUN} if the command will never take effect,
 * {@code MAY_HAVE_RUN} if the outcome is not known yet
 * @param reason short sentence for the caller
 * @param leaderAddress {@code ip:port} of the leader's HTTP API, if this member is not
 * the leader and the leader is known
 */
public record CommandFailure(ExecutionVerdict verdict, String reason, Optional<String> leaderAddress) {

	public CommandFailure {
		Objects.requireNonNull(verdict, "verdict");
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(leaderAddress, "leaderAddress");
	}

}
