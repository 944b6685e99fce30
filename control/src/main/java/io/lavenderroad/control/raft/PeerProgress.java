package io.lavenderroad.control.raft;

import io.lavenderroad.control.log.Snapshot;

/**
 * Replication state of one peer. Times are in milliseconds of the clock of the member.
 * Guarded by the lock of {@link ControlMember}.
 */
final class PeerProgress {

	final Member member;

	long nextIndex = 1;

	long matchIndex;

	/**
	 * Time at which the latest call that got a response was sent; initially the start of
	 * the leadership.
	 */
	long lastContactMillis;

	/**
	 * Time of the last response with a match index that covered the commit index of the
	 * leader at the time of sending.
	 */
	long caughtUpMillis;

	long lastSentMillis;

	/**
	 * Earliest time of the next call. It is postponed after a failed call.
	 */
	long retryAtMillis;

	long sentCommitIndex;

	long sentRound;

	long acknowledgedRound;

	boolean inFlight;

	VoteRequest voteRequest;

	TimeoutNow timeoutNow;

	Snapshot snapshot;

	int snapshotChecksum;

	int snapshotOffset;

	/**
	 * Time at which the leader stops sending to a removed peer, or 0 while the peer is a
	 * member.
	 */
	long stopSendingMillis;

	PeerProgress(Member member) {
		this.member = member;
	}

	void resetForLeadership(long nextIndex, long now) {
		this.nextIndex = nextIndex;
		this.matchIndex = 0;
		this.lastContactMillis = now;
		this.caughtUpMillis = Long.MIN_VALUE / 2;
		this.lastSentMillis = Long.MIN_VALUE / 2;
		this.retryAtMillis = 0;
		this.sentCommitIndex = 0;
		this.sentRound = 0;
		this.acknowledgedRound = 0;
		this.voteRequest = null;
		this.timeoutNow = null;
		this.snapshot = null;
	}

	void recordMatch(long index) {
		this.matchIndex = Math.max(this.matchIndex, index);
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
	}

	void recordMismatch(long lastPossibleIndex) {
		this.nextIndex = Math.max(this.matchIndex + 1, Math.min(this.nextIndex - 1, lastPossibleIndex + 1));
	}

}
