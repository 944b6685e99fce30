package io.lavenderroad.control.api;

import java.util.List;
import java.util.Optional;

import io.lavenderroad.control.state.ChangeRefusal;
import io.lavenderroad.control.state.CommandFailure;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.Problem;

/**
 * Response of the API.
 *
 * @param status HTTP status code
 * @param contentType content type of the body
 * @param body the body
 */
record ApiResponse(int status, String contentType, String body) {

	static final int OK = 200;

	static final int BAD_REQUEST = 400;

	static final int NOT_FOUND = 404;

	static final int METHOD_NOT_ALLOWED = 405;

	static final int CONFLICT = 409;

	static final int TOO_LARGE = 413;

	static final int MISDIRECTED = 421;

	static final int INTERNAL_ERROR = 500;

	static final int UNAVAILABLE = 503;

	static final int TIMEOUT = 504;

	private static final String JSON_TYPE = "application/json; charset=utf-8";

	static ApiResponse json(int status, String body) {
		return new ApiResponse(status, JSON_TYPE, body);
	}

	static ApiResponse notRun(int status, String reason) {
		return refusal(status, ExecutionVerdict.NOT_RUN, reason, List.of(), Optional.empty());
	}

	static ApiResponse invalid(List<Problem> problems) {
		return refusal(BAD_REQUEST, ExecutionVerdict.NOT_RUN, problems.size() + " problems in the input", problems,
				Optional.empty());
	}

	static ApiResponse failed(String reason) {
		return refusal(INTERNAL_ERROR, ExecutionVerdict.MAY_HAVE_RUN, reason, List.of(), Optional.empty());
	}

	static ApiResponse of(CommandFailure failure) {
		return refusal(status(failure.verdict(), failure.leaderAddress()), failure.verdict(), failure.reason(),
				List.of(), failure.leaderAddress());
	}

	static ApiResponse of(ChangeRefusal refusal) {
		int status = refusal.problems().isEmpty() ? status(refusal.verdict(), refusal.leaderAddress()) : BAD_REQUEST;
		return refusal(status, refusal.verdict(), refusal.reason(), refusal.problems(), refusal.leaderAddress());
	}

	private static int status(ExecutionVerdict verdict, Optional<String> leaderAddress) {
		if (verdict != ExecutionVerdict.NOT_RUN) {
			return TIMEOUT;
		}
		return leaderAddress.isPresent() ? MISDIRECTED : UNAVAILABLE;
	}

	private static ApiResponse refusal(int status, ExecutionVerdict verdict, String reason, List<Problem> problems,
			Optional<String> leaderAddress) {
		return json(status, ApiJson.refusal(verdict, reason, problems, leaderAddress));
	}

}
