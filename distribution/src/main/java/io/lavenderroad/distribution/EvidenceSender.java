package io.lavenderroad.distribution;

import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.distribution.DistributionMessages.Report;
import io.lavenderroad.distribution.DistributionMessages.ReportAcknowledged;
import io.lavenderroad.model.Evidence;
import io.vavr.control.Either;

/**
 * Sends reports so that each piece of evidence is added at most once. An unacknowledged
 * report is sent again with the same number to the same receiver, which has recorded the
 * number if it added the report. Another receiver has no such record, so the evidence of
 * this report is dropped when the receiver changes: counting it twice could cause a good
 * version to be withdrawn. The lock guards the evidence and is not held while sending;
 * the sending lock admits one report at a time.
 */
final class EvidenceSender {

	private final ReentrantLock lock = new ReentrantLock();

	private final ReentrantLock sending = new ReentrantLock();

	private Evidence pending = Evidence.NONE;

	private Report unacknowledged;

	private String unacknowledgedReceiver;

	private SubtreeStatus lastStatus;

	private long lastSentMillis;

	private long sequence;

	private long noReceiverSinceMillis;

	private long droppedReports;

	void add(Evidence evidence) {
		this.lock.lock();
		try {
			this.pending = this.pending.plus(evidence);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records that there is no receiver now. Evidence is dropped after 5 s without a
	 * receiver: evidence collected during a long partition would otherwise count for the
	 * step of a move that is in progress when the partition ends.
	 * @param now milliseconds of the clock
	 */
	void noReceiver(long now) {
		this.lock.lock();
		try {
			this.noReceiverSinceMillis = (this.noReceiverSinceMillis == 0) ? now : this.noReceiverSinceMillis;
			if (now - this.noReceiverSinceMillis > TreeTimes.EVIDENCE_RETENTION_MILLIS && !this.pending.isEmpty()) {
				this.pending = Evidence.NONE;
				this.droppedReports++;
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns how often evidence was dropped, because a report was unacknowledged when
	 * the receiver changed or because there was no receiver for too long.
	 * @return count
	 */
	long droppedReports() {
		this.lock.lock();
		try {
			return this.droppedReports;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns whether evidence is waiting to be sent.
	 * @return true if there is any
	 */
	boolean hasEvidence() {
		this.lock.lock();
		try {
			return !this.pending.isEmpty();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Discards the last sent status, so that the next one is sent to a new receiver in
	 * any case.
	 */
	void receiverChanged() {
		this.lock.lock();
		try {
			this.lastStatus = null;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Sends a report if there is something new.
	 * @param connection connection to the receiver
	 * @param status the present status
	 * @param now milliseconds of the clock
	 */
	void send(Connection connection, SubtreeStatus status, long now) {
		this.sending.lock();
		try {
			Report report = nextReport(receiver(connection), status, now);
			if (report == null) {
				return;
			}
			handleResult(report, receiver(connection),
					connection.call(report, TreeTimes.CALL_TIMEOUT_MILLIS, ReportAcknowledged.class));
		}
		finally {
			this.sending.unlock();
		}
	}

	/**
	 * Runs an action while no report is in flight.
	 * @param action the action
	 */
	void betweenReports(Runnable action) {
		this.sending.lock();
		try {
			action.run();
		}
		finally {
			this.sending.unlock();
		}
	}

	/**
	 * Chooses the next report.
	 * @param receiver id and start time of the receiver
	 * @param status the present status
	 * @param now milliseconds of the clock
	 * @return the report, or null if there is nothing new
	 */
	Report nextReport(String receiver, SubtreeStatus status, long now) {
		this.lock.lock();
		try {
			this.noReceiverSinceMillis = 0;
			if (this.unacknowledged != null && receiver.equals(this.unacknowledgedReceiver)) {
				return this.unacknowledged;
			}
			if (this.unacknowledged != null) {
				this.droppedReports += this.unacknowledged.evidence().isEmpty() ? 0 : 1;
				this.unacknowledged = null;
			}
			boolean sameStatus = this.lastStatus != null && status.equalsExceptBytes(this.lastStatus);
			if (sameStatus && this.pending.isEmpty() && now - this.lastSentMillis < TreeTimes.BYTES_REPORT_MILLIS) {
				return null;
			}
			this.lastStatus = status;
			this.lastSentMillis = now;
			Report report = new Report(++this.sequence, status, this.pending);
			this.pending = Evidence.NONE;
			return report;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records the result of sending a report.
	 * @param report the report
	 * @param receiver id and start time of the receiver
	 * @param result the acknowledgement or the failure
	 */
	void handleResult(Report report, String receiver, Either<CallFailure, ReportAcknowledged> result) {
		this.lock.lock();
		try {
			this.unacknowledged = null;
			boolean notAdded = result.fold((failure) -> failure.verdict() == ExecutionVerdict.NOT_RUN,
					(acknowledged) -> acknowledged.sequence() != report.sequence());
			if (notAdded) {
				this.pending = this.pending.plus(report.evidence());
				this.lastStatus = null;
			}
			else if (result.isLeft()) {
				this.unacknowledged = report;
				this.unacknowledgedReceiver = receiver;
				this.lastStatus = null;
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	private static String receiver(Connection connection) {
		return connection.peer().senderId() + "/" + connection.peer().incarnation();
	}

}
