package io.lavenderroad.node;

import java.util.List;

import io.lavenderroad.core.ExecutionVerdict;

/**
 * Outcome of one call attempt.
 *
 * @param verdict whether the call ran; only {@code RAN} carries the answer of the backend
 * server
 * @param status HTTP status
 * @param reason why a node generated the answer, empty if the backend server did
 * @param headers end-to-end headers, names and values alternating
 * @param body complete answer body
 * @param report report of the node on its backend server
 * @param avoidance which calls the sender should keep away from the endpoint after a
 * refusal
 * @param received whether the backend server received the request, even if it did not run
 * it
 */
record CallAnswer(ExecutionVerdict verdict, int status, String reason, List<String> headers, byte[] body,
		ServerReport report, Avoidance avoidance, boolean received) {

	static final byte[] NO_BODY = new byte[0];

	static CallAnswer notRun(int status, String reason) {
		return new CallAnswer(ExecutionVerdict.NOT_RUN, status, reason, List.of(), NO_BODY, ServerReport.IDLE,
				Avoidance.NONE, false);
	}

	static CallAnswer mayHaveRun(int status, String reason) {
		return new CallAnswer(ExecutionVerdict.MAY_HAVE_RUN, status, reason, List.of(), NO_BODY, ServerReport.IDLE,
				Avoidance.NONE, true);
	}

	static CallAnswer ran(int status, List<String> headers, byte[] body) {
		return new CallAnswer(ExecutionVerdict.RAN, status, "", headers, body, ServerReport.IDLE, Avoidance.NONE, true);
	}

	/**
	 * Returns a copy that is marked as a refusal by the backend server itself.
	 * @return the copy
	 */
	CallAnswer asBackendRefusal() {
		return new CallAnswer(this.verdict, this.status, this.reason, this.headers, this.body, this.report,
				this.avoidance, true);
	}

	CallAnswer withAvoidance(Avoidance newAvoidance) {
		return new CallAnswer(this.verdict, this.status, this.reason, this.headers, this.body, this.report,
				newAvoidance, this.received);
	}

	CallAnswer withReport(ServerReport newReport) {
		return new CallAnswer(this.verdict, this.status, this.reason, this.headers, this.body, newReport,
				this.avoidance, this.received);
	}

	/**
	 * Returns the answer of an earlier run to a request with the same idempotency key.
	 * @return the answer, marked as repeated
	 */
	CallAnswer repeated() {
		return new CallAnswer(this.verdict, this.status, "answered from the first run with this idempotency key",
				this.headers, this.body, this.report, this.avoidance, this.received);
	}

	/**
	 * Returns whether the answer counts as an observation of the backend server version.
	 * Answers from the ledger of idempotency keys do not.
	 * @return true if the call must be recorded
	 */
	boolean isObservation() {
		return this.reason.isEmpty() || (this.verdict != ExecutionVerdict.RAN && this.status != HttpStatus.CONFLICT);
	}

	/**
	 * Returns whether the call counts as an error of the backend server version.
	 * @return true for status 500 and above and for calls that may have run
	 */
	boolean isError() {
		return this.verdict == ExecutionVerdict.MAY_HAVE_RUN || this.status >= HttpStatus.INTERNAL_ERROR;
	}

}
