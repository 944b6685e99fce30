package io.lavenderroad.bench.moves;

import io.lavenderroad.model.MoveStatus;

/**
 * Result of one simulated move. Times are milliseconds from the start of the move; -1
 * means never.
 *
 * @param status status at the end of the run
 * @param finishedMillis when the verdict was reached, 0 without one
 * @param warnedMillis when the first warning was issued
 * @param firstNewMillis when the new version got its first calls
 * @param firstBadMillis when the version was first bad while it had a share
 * @param lastBadMillis when it last had a share while it was bad
 * @param badShare share of the calls that reached the bad version among all calls until
 * the verdict was active
 * @param badShareOfMove share of the calls that reached the bad version among all calls
 * from the start to the deadline
 * @param reason reason of the verdict
 * @param figures statistics behind the verdict
 * @param waitingFor what the move waited for at the end
 */
record RunResult(MoveStatus status, long finishedMillis, long warnedMillis, long firstNewMillis, long firstBadMillis,
		long lastBadMillis, double badShare, double badShareOfMove, String reason, String figures, String waitingFor) {

	boolean isDone() {
		return this.status == MoveStatus.DONE;
	}

	boolean isTakenBack() {
		return this.status == MoveStatus.TAKEN_BACK;
	}

	boolean wasBad() {
		return this.firstBadMillis >= 0;
	}

	double secondsFromVerdictToZero() {
		return isTakenBack() ? (this.lastBadMillis - this.finishedMillis) / 1_000.0 + 1 : 0;
	}

	double secondsToZero() {
		return (this.lastBadMillis - this.firstBadMillis) / 1_000.0 + 1;
	}

}
