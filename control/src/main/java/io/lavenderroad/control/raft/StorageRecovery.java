package io.lavenderroad.control.raft;

import io.lavenderroad.control.log.StorageException;
import org.tinylog.Logger;

/**
 * Brings a member back whose disk failed permanently, for example because a sync found no
 * room. Until then the member neither votes nor acknowledges. Recovery removes what was
 * not synced, which nobody relies on, and the member continues as a follower. Guarded by
 * the lock of {@link ControlMember}; callers hold it, and for {@link #recover()} also the
 * apply lock.
 */
final class StorageRecovery {

	/**
	 * Number of election timeouts between two attempts.
	 */
	private static final long RETRY_ELECTION_TIMEOUTS = 1;

	private final MemberState state;

	private final ControlMember<?> member;

	private boolean pending;

	private long nextAttemptMillis;

	StorageRecovery(MemberState state, ControlMember<?> member) {
		this.state = state;
		this.member = member;
	}

	/**
	 * Stops the member until its disk works again.
	 * @param failure the failure
	 */
	void stopUntilRepaired(StorageException failure) {
		boolean first = this.state.failure == null;
		this.member.suspend(failure.getMessage());
		if (first) {
			this.pending = true;
			scheduleNextAttempt();
		}
	}

	/**
	 * Gives up the recovery, because the member stops for another reason, too.
	 */
	void cancel() {
		this.pending = false;
	}

	/**
	 * Returns whether an attempt to recover is due.
	 * @return true if only the disk has stopped this member and the pause is over
	 */
	boolean isDue() {
		return this.pending && this.state.now() >= this.nextAttemptMillis;
	}

	/**
	 * Tries to recover if an attempt is due.
	 */
	void recover() {
		if (!isDue()) {
			return;
		}
		try {
			this.state.log.repair();
			this.member.receiver.installStoredSnapshot();
		}
		catch (StorageException ex) {
			Logger.debug("control: The disk of {} still fails: {}.", this.state.id, ex.getMessage());
			scheduleNextAttempt();
			return;
		}
		resume();
	}

	private void resume() {
		long last = this.state.log.lastIndex();
		this.state.history.truncateFrom(last + 1);
		this.state.verifiedIndex = Math.min(this.state.verifiedIndex, last);
		this.pending = false;
		this.state.failure = null;
		this.member.changes.updatePeers();
		this.member.elections.resetElectionTimeout();
		this.state.stateChanged.signalAll();
		Logger.info("control: The disk of {} works again; the member continues after entry {}.", this.state.id, last);
	}

	private void scheduleNextAttempt() {
		this.nextAttemptMillis = this.state.now()
				+ RETRY_ELECTION_TIMEOUTS * this.state.options.electionTimeoutMillis();
	}

}
