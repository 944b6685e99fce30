package io.lavenderroad.control.state;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.Problem;

/**
 * Reason why a request was refused before the state machine decided on it.
 *
 * @param verdict whether the request may have run
 * @param reason short sentence for the operator
 * @param problems problems of the input; empty if the input is not the cause
 * @param leaderAddress {@code ip:port} of the leader's HTTP API, if this member is not
 * the leader and the leader is known
 */
public record ChangeRefusal(ExecutionVerdict verdict, String reason, List<Problem> problems,
		Optional<String> leaderAddress) {

	public ChangeRefusal {
		Objects.requireNonNull(verdict, "verdict");
		Objects.requireNonNull(reason, "reason");
		problems = List.copyOf(problems);
		Objects.requireNonNull(leaderAddress, "leaderAddress");
	}

	static ChangeRefusal of(CommandFailure failure) {
		return new ChangeRefusal(failure.verdict(), failure.reason(), List.of(), failure.leaderAddress());
	}

	static ChangeRefusal invalid(List<Problem> problems) {
		String reason = (problems.size() == 1) ? "1 problem in the input" : problems.size() + " problems in the input";
		return new ChangeRefusal(ExecutionVerdict.NOT_RUN, reason, problems, Optional.empty());
	}

	static ChangeRefusal notRun(String reason) {
		return new ChangeRefusal(ExecutionVerdict.NOT_RUN, reason, List.of(), Optional.empty());
	}

}
