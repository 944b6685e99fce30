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
 * @param load calls running and waiting at the backend server, a hint for balancing
 * @param serviceMillis how long a call runs at the backend server, 0 if unknown
 * @param avoidance which further calls the sender should not send there, after a refusal
 * @param arrived whether the backend server received the request, also if it did not run
 * it
 */
record CallAnswer(ExecutionVerdict verdict, int status, String reason, List<String> headers, byte[] body, int load,
		int serviceMillis, Avoidance avoidance, boolean arrived) {

	static final byte[] NO_BODY = new byte[0];

	static CallAnswer notRun(int status, String reason) {
		return new CallAnswer(ExecutionVerdict.NOT_RUN, status, reason, List.of(), NO_BODY, 0, 0, Avoidance.NONE,
				false);
	}

	static CallAnswer mayHaveRun(int status, String reason) {
		return new CallAnswer(ExecutionVerdict.MAY_HAVE_RUN, status, reason, List.of(), NO_BODY, 0, 0, Avoidance.NONE,
				true);
	}

	static CallAnswer ran(int status, List<String> headers, byte[] body) {
		return new CallAnswer(ExecutionVerdict.RAN, status, "", headers, body, 0, 0, Avoidance.NONE, true);
	}

	/**
	 * Marks a refusal that came from the backend server itself.
	 * @return the copy
	 */
	CallAnswer byBackend() {
		return new CallAnswer(this.verdict, this.status, this.reason, this.headers, this.body, this.load,
				this.serviceMillis, this.avoidance, true);
	}

	CallAnswer avoid(Avoidance newAvoidance) {
		return new CallAnswer(this.verdict, this.status, this.reason, this.headers, this.body, this.load,
				this.serviceMillis, newAvoidance, this.arrived);
	}

	CallAnswer withLoad(int newLoad) {
		return withLoad(newLoad, 0);
	}

	CallAnswer withLoad(int newLoad, int newServiceMillis) {
		return new CallAnswer(this.verdict, this.status, this.reason, this.headers, this.body, newLoad,
				newServiceMillis, this.avoidance, this.arrived);
	}

	/**
	 * Returns the answer of an earlier run to a request with the same idempotency key.
	 * @return the answer, marked as repeated
	 */
	CallAnswer repeated() {
		return new CallAnswer(this.verdict, this.status, "answered from the first run with this idempotency key",
				this.headers, this.body, this.load, this.serviceMillis, this.avoidance, this.arrived);
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
