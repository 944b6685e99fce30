package io.lavenderroad.node;

import java.util.List;

import io.lavenderroad.core.ExecutionVerdict;

/**
 * Outcome of one call.
 *
 * @param verdict whether the call ran; only {@code RAN} carries the answer of the backend
 * server
 * @param status HTTP status
 * @param reason why the system generated the answer, empty if the backend server did
 * @param headers end-to-end headers: names and values in turn
 * @param body whole answer body
 * @param report what the node of the backend server says of it
 * @param avoidance which further calls the sender should not send there, after a refusal
 * @param arrived whether the backend server received the request, also if it did not run
 * it
 */
record CallAnswer(ExecutionVerdict verdict, int status, String reason, List<String> headers, byte[] body,
		ServerReport report, Avoidance avoidance, boolean arrived) {

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
	 * Marks a refusal that came from the backend server itself.
	 * @return the copy
	 */
	CallAnswer byBackend() {
		return new CallAnswer(this.verdict, this.status, this.reason, this.headers, this.body, this.report,
				this.avoidance, true);
	}

	CallAnswer avoid(Avoidance newAvoidance) {
		return new CallAnswer(this.verdict, this.status, this.reason, this.headers, this.body, this.report,
				newAvoidance, this.arrived);
	}

	CallAnswer withReport(ServerReport newReport) {
		return new CallAnswer(this.verdict, this.status, this.reason, this.headers, this.body, newReport,
				this.avoidance, this.arrived);
	}

	/**
	 * Returns the answer of an earlier run to a request with the same idempotency key.
	 * @return the answer, marked as repeated
	 */
	CallAnswer repeated() {
		return new CallAnswer(this.verdict, this.status, "answered from the first run with this idempotency key",
				this.headers, this.body, this.report, this.avoidance, this.arrived);
	}

	/**
	 * Tells whether the answer says something about the backend server version. Answers
	 * that the ledger of idempotency keys gave do not.
	 * @return true if the call is to be observed
	 */
	boolean isObservation() {
		return this.reason.isEmpty() || (this.verdict != ExecutionVerdict.RAN && this.status != HttpStatus.CONFLICT);
	}

	/**
	 * Tells whether the call counts against the backend server version.
	 * @return true for status 500 and above and for answers that were lost
	 */
	boolean isError() {
		return this.verdict == ExecutionVerdict.MAY_HAVE_RUN || this.status >= HttpStatus.INTERNAL_ERROR;
	}

}
