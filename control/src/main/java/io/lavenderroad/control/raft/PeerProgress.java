package io.lavenderroad.control.raft;

import io.lavenderroad.control.log.Snapshot;

/**
 * What a member knows of one peer. Guarded by the lock of {@link ControlMember}.
 */
final class PeerProgress {

	final Member member;

	long nextIndex = 1;

	long matchIndex;

	long answeredMillis;

	long caughtUpMillis;

	long sentMillis;

	long retryMillis;

	long commitSent;

	long roundSent;

	long roundAnswered;

	boolean inFlight;

	VoteRequest vote;

	TimeoutNow handover;

	Snapshot snapshot;

	int snapshotChecksum;

	int snapshotOffset;

	/**
	 * Time at which the leader stops sending to a removed member; 0 for a member.
	 */
	long leaveMillis;

	PeerProgress(Member member) {
		this.member = member;
	}

	void startLeading(long nextIndex, long now) {
		this.nextIndex = nextIndex;
		this.matchIndex = 0;
		this.answeredMillis = now;
		this.caughtUpMillis = Long.MIN_VALUE / 2;
		this.sentMillis = Long.MIN_VALUE / 2;
		this.retryMillis = 0;
		this.commitSent = 0;
		this.roundSent = 0;
		this.roundAnswered = 0;
		this.vote = null;
		this.handover = null;
		this.snapshot = null;
	}

	void matched(long index) {
		this.matchIndex = Math.max(this.matchIndex, index);
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
	}

	void mismatched(long lastPossibleIndex) {
		this.nextIndex = Math.max(this.matchIndex + 1, Math.min(this.nextIndex - 1, lastPossibleIndex + 1));
	}

}
