package io.lavenderroad.node;

import io.lavenderroad.core.ExecutionVerdict;

/**
 * Record of one idempotency key at a holder.
 *
 * @param claim the claim that was granted
 * @param state state of the call
 * @param answer the answer in the state {@code DONE}, else null
 * @param createdMillis time of the claim on the clock of the holder
 */
record KeyRecord(KeyClaim claim, KeyState state, CallAnswer answer, long createdMillis) {

	/**
	 * Estimated heap size of a record and its map entry, without the answer.
	 */
	static final int FIXED_BYTES = 256;

	private static final int TEXT_BYTES = 56;

	static KeyRecord running(KeyClaim claim, long nowMillis) {
		return new KeyRecord(claim, KeyState.RUNNING, null, nowMillis);
	}

	/**
	 * Returns this record with the outcome of the call.
	 * @param outcome the outcome
	 * @param maximumAnswerBytes maximum size of a kept answer
	 * @return the settled record
	 */
	KeyRecord settled(CallAnswer outcome, int maximumAnswerBytes) {
		if (outcome.verdict() != ExecutionVerdict.RAN) {
			return new KeyRecord(this.claim, KeyState.UNKNOWN, null, this.createdMillis);
		}
		KeyRecord whole = new KeyRecord(this.claim, KeyState.DONE, outcome.withReport(ServerReport.IDLE),
				this.createdMillis);
		return (whole.bytes() - FIXED_BYTES <= maximumAnswerBytes) ? whole : withoutAnswer();
	}

	KeyRecord withoutAnswer() {
		return new KeyRecord(this.claim, KeyState.DONE_WITHOUT_ANSWER, null, this.createdMillis);
	}

	KeyRecord withCreatedMillis(long millis) {
		return new KeyRecord(this.claim, this.state, this.answer, millis);
	}

	/**
	 * Returns the estimated heap size of the record.
	 * @return bytes
	 */
	int bytes() {
		if (this.answer == null) {
			return FIXED_BYTES;
		}
		int bytes = FIXED_BYTES + this.answer.body().length;
		for (String header : this.answer.headers()) {
			bytes += TEXT_BYTES + header.length();
		}
		return bytes;
	}

}
