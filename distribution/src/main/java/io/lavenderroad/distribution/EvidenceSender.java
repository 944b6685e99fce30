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
 * Sends reports so that each piece of evidence is added once. A report whose fate is
 * unknown is sent again with its number to the same receiver, which knows the number if
 * it has added it. Another receiver cannot know, so the evidence of that one report is
 * dropped there: counting it twice could condemn a good version. The lock guards the
 * evidence and is not held while sending; the sending lock admits one report at a time.
 */
final class EvidenceSender {

	private final ReentrantLock lock = new ReentrantLock();

	private final ReentrantLock sending = new ReentrantLock();

	private Evidence pending = Evidence.NONE;

	private Report inDoubt;

	private String inDoubtReceiver;

	private SubtreeStatus lastStatus;

	private long lastSentMillis;

	private long sequence;

	private long aloneMillis;

	private long lost;

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
	 * Notes that there is no receiver now. Evidence is dropped after 5 s without one: all
	 * that was collected during a long partition would otherwise count for the step of a
	 * move that is in progress when the partition ends.
	 * @param now milliseconds of the clock
	 */
	void noReceiver(long now) {
		this.lock.lock();
		try {
			this.aloneMillis = (this.aloneMillis == 0) ? now : this.aloneMillis;
			if (now - this.aloneMillis > TreeTimes.EVIDENCE_MILLIS && !this.pending.isEmpty()) {
				this.pending = Evidence.NONE;
				this.lost++;
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns how many reports with evidence were dropped because their fate is unknown.
	 * @return count
	 */
	long lost() {
		this.lock.lock();
		try {
			return this.lost;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Tells whether evidence waits to be sent.
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
	 * Forgets the last status, so that a new receiver gets the next one in any case.
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
			Report report = next(receiver(connection), status, now);
			if (report == null) {
				return;
			}
			settle(report, receiver(connection),
					connection.call(report, TreeTimes.CALL_TIMEOUT_MILLIS, ReportAcknowledged.class));
		}
		finally {
			this.sending.unlock();
		}
	}

	/**
	 * Runs an action while no report is on its way.
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
	Report next(String receiver, SubtreeStatus status, long now) {
		this.lock.lock();
		try {
			this.aloneMillis = 0;
			if (this.inDoubt != null && receiver.equals(this.inDoubtReceiver)) {
				return this.inDoubt;
			}
			if (this.inDoubt != null) {
				this.lost += this.inDoubt.evidence().isEmpty() ? 0 : 1;
				this.inDoubt = null;
			}
			boolean sameStatus = this.lastStatus != null && status.saysTheSameAs(this.lastStatus);
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
	 * Notes what became of a report.
	 * @param report the report
	 * @param receiver id and start time of the receiver
	 * @param result the acknowledgement, or why there is none
	 */
	void settle(Report report, String receiver, Either<CallFailure, ReportAcknowledged> result) {
		this.lock.lock();
		try {
			this.inDoubt = null;
			boolean notAdded = result.fold((failure) -> failure.verdict() == ExecutionVerdict.NOT_RUN,
					(acknowledged) -> acknowledged.sequence() != report.sequence());
			if (notAdded) {
				this.pending = this.pending.plus(report.evidence());
				this.lastStatus = null;
			}
			else if (result.isLeft()) {
				this.inDoubt = report;
				this.inDoubtReceiver = receiver;
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
