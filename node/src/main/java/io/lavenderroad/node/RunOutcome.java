package io.lavenderroad.node;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.policy.calls.Pace;

/**
 * Maps the answer of a run to what it shows about the local backend server.
 */
final class RunOutcome {

	private static final int LOWEST_STATUS = 100;

	private RunOutcome() {
	}

	static Pace.Outcome of(CallAnswer answer, boolean callerHasGone) {
		if (answer.verdict() == ExecutionVerdict.RAN) {
			return ofStatus(answer.status());
		}
		if (callerHasGone) {
			return Pace.Outcome.NONE;
		}
		if (answer.status() == HttpStatus.GATEWAY_TIMEOUT) {
			return Pace.Outcome.OVERDUE;
		}
		// A refusal by the node itself, such as for a malformed path, shows nothing.
		boolean byServer = answer.received() || answer.avoidance().scope() == Avoidance.Scope.ALL_CALLS;
		return byServer ? Pace.Outcome.FAILED : Pace.Outcome.NONE;
	}

	private static Pace.Outcome ofStatus(int status) {
		if (status < LOWEST_STATUS) {
			return Pace.Outcome.FAILED;
		}
		return (status < HttpStatus.INTERNAL_ERROR) ? Pace.Outcome.ANSWERED : Pace.Outcome.NONE;
	}

}
