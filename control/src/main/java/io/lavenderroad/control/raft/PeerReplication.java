package io.lavenderroad.control.raft;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.lavenderroad.control.log.Snapshot;
import io.lavenderroad.core.LavenderroadException;

/**
 * Chooses what each peer is sent next and handles the answers. At most one call is in
 * flight to a peer, and only synced entries are sent. A commit notice waits for the call
 * in flight to the same follower, although it is sent one-way.
 * <p>
 * Guarded by the lock of {@link ControlMember}. Callers hold it, except for those of
 * {@link #awaitMessageFor(PeerProgress)}, which takes it and releases it while it waits.
 */
final class PeerReplication {

	private final MemberState state;

	private final ControlMember<?> member;

	PeerReplication(MemberState state, ControlMember<?> member) {
		this.state = state;
		this.member = member;
	}

	Optional<PeerMessage> nextMessageFor(String peerId) {
		return Optional.ofNullable(this.state.peers.get(peerId)).flatMap(this::messageFor);
	}

	Optional<PeerMessage> awaitMessageFor(PeerProgress peer) {
		this.state.lock.lock();
		try {
			while (this.state.running && this.state.peers.get(peer.member.id()) == peer) {
				Optional<PeerMessage> message = messageFor(peer);
				if (message.isPresent()) {
					return message;
				}
				this.state.changed.await(millisUntilDue(peer), TimeUnit.MILLISECONDS);
			}
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
		finally {
			this.state.lock.unlock();
		}
	}

	void messageAnswered(String peerId, PeerMessage sent, Object response) {
		PeerProgress peer = this.state.peers.get(peerId);
		if (peer == null) {
			return;
		}
		peer.inFlight = false;
		if (sent.message() instanceof VoteRequest request && response instanceof VoteResponse vote) {
			this.member.elections.voteAnswered(peerId, request, vote);
		}
		else if (sent.message() instanceof AppendRequest request && response instanceof AppendResponse answer) {
			appendAnswered(peer, sent, request, answer);
		}
		else if (sent.message() instanceof SnapshotChunk chunk && response instanceof SnapshotResponse answer) {
			snapshotAnswered(peer, sent, chunk, answer);
		}
		this.state.changed.signalAll();
	}

	void messageFailed(String peerId, PeerMessage sent) {
		PeerProgress peer = this.state.peers.get(peerId);
		if (peer == null) {
			return;
		}
		peer.inFlight = false;
		peer.retryMillis = this.state.now() + this.state.options.heartbeatMillis();
		peer.roundSent = peer.roundAnswered;
		if (sent.message() instanceof VoteRequest request && request.term() >= this.state.term
				&& this.state.role != MemberRole.LEADER && this.state.role != MemberRole.FOLLOWER) {
			peer.vote = request;
		}
	}

	private Optional<PeerMessage> messageFor(PeerProgress peer) {
		if (peer.inFlight || this.state.failure != null) {
			return Optional.empty();
		}
		if (peer.handover != null) {
			TimeoutNow handover = peer.handover;
			peer.handover = null;
			return Optional.of(message(handover, false));
		}
		if (peer.vote != null && this.state.now() >= peer.retryMillis) {
			VoteRequest vote = peer.vote;
			peer.vote = null;
			return Optional.of(call(peer, vote));
		}
		if (this.state.role == MemberRole.LEADER) {
			return leaderMessageFor(peer);
		}
		return Optional.empty();
	}

	private Optional<PeerMessage> leaderMessageFor(PeerProgress peer) {
		if (peer.member.id().equals(this.state.transferTarget) && !this.state.transferSent
				&& peer.matchIndex == this.state.log.lastIndex()) {
			this.state.transferSent = true;
			return Optional.of(message(new TimeoutNow(this.state.term, this.state.id), false));
		}
		if (this.state.now() < peer.retryMillis) {
			return Optional.empty();
		}
		if (peer.nextIndex < this.state.log.firstIndex() || peer.snapshot != null) {
			return snapshotMessageFor(peer);
		}
		boolean entries = peer.nextIndex <= this.state.log.syncedIndex();
		boolean due = this.state.now() - peer.sentMillis >= this.state.options.heartbeatMillis()
				|| peer.roundSent < this.state.round;
		if (entries || due) {
			return Optional.of(call(peer, appendRequest(peer)));
		}
		if (peer.commitSent < this.state.commitIndex) {
			peer.commitSent = this.state.commitIndex;
			return Optional
				.of(message(new CommitNotice(this.state.term, this.state.id, this.state.commitIndex), false));
		}
		return Optional.empty();
	}

	private Optional<PeerMessage> snapshotMessageFor(PeerProgress peer) {
		if (peer.snapshot == null && !loadSnapshot(peer)) {
			return Optional.empty();
		}
		Snapshot snapshot = peer.snapshot;
		int length = Math.min(this.state.options.snapshotChunkBytes(), snapshot.data().length - peer.snapshotOffset);
		byte[] bytes = new byte[length];
		System.arraycopy(snapshot.data(), peer.snapshotOffset, bytes, 0, length);
		return Optional
			.of(call(peer, new SnapshotChunk(this.state.term, this.state.id, snapshot.index(), snapshot.term(),
					snapshot.members(), snapshot.data().length, peer.snapshotChecksum, peer.snapshotOffset, bytes)));
	}

	private boolean loadSnapshot(PeerProgress peer) {
		try {
			peer.snapshot = this.state.log.snapshot().orElse(null);
		}
		catch (LavenderroadException ex) {
			this.member.stopWith(ex.getMessage());
		}
		if (peer.snapshot == null) {
			return false;
		}
		peer.snapshotOffset = 0;
		peer.snapshotChecksum = SnapshotReceiver.checksum(peer.snapshot.data());
		return true;
	}

	private AppendRequest appendRequest(PeerProgress peer) {
		long previous = peer.nextIndex - 1;
		return new AppendRequest(this.state.term, this.state.id, previous, this.state.log.term(previous).orElseThrow(),
				this.state.commitIndex,
				this.state.log.entries(peer.nextIndex, this.state.log.syncedIndex(), this.state.options.batchBytes()));
	}

	private PeerMessage call(PeerProgress peer, Object message) {
		peer.inFlight = true;
		peer.sentMillis = this.state.now();
		peer.roundSent = this.state.round;
		if (message instanceof AppendRequest) {
			peer.commitSent = Math.max(peer.commitSent, this.state.commitIndex);
		}
		return message(message, true);
	}

	private PeerMessage message(Object message, boolean call) {
		return new PeerMessage(message, call, this.state.now(), this.state.round, this.state.commitIndex);
	}

	private long millisUntilDue(PeerProgress peer) {
		if (this.state.role != MemberRole.LEADER || peer.inFlight) {
			return MemberState.IDLE_MILLIS;
		}
		long due = Math.max(peer.sentMillis + this.state.options.heartbeatMillis(), peer.retryMillis);
		return Math.clamp(due - this.state.now(), 1, MemberState.IDLE_MILLIS);
	}

	private void appendAnswered(PeerProgress peer, PeerMessage sent, AppendRequest request, AppendResponse answer) {
		if (!isAnswerToLeader(request.term(), answer.term())) {
			return;
		}
		if (answer.result() == AppendResponse.Result.UNAVAILABLE) {
			peer.retryMillis = this.state.now() + this.state.options.heartbeatMillis();
			return;
		}
		peer.answeredMillis = Math.max(peer.answeredMillis, sent.sentMillis());
		peer.roundAnswered = Math.max(peer.roundAnswered, sent.round());
		if (answer.result() == AppendResponse.Result.SUCCESS) {
			peer.matched(Math.min(answer.index(), request.previousIndex() + request.entries().size()));
			if (peer.matchIndex >= sent.commitIndex()) {
				peer.caughtUpMillis = this.state.now();
			}
		}
		else if (answer.result() == AppendResponse.Result.MISMATCH && request.previousIndex() == peer.nextIndex - 1) {
			peer.mismatched(answer.index());
		}
		progressMade();
	}

	private void snapshotAnswered(PeerProgress peer, PeerMessage sent, SnapshotChunk chunk, SnapshotResponse answer) {
		if (!isAnswerToLeader(chunk.term(), answer.term())) {
			return;
		}
		peer.answeredMillis = Math.max(peer.answeredMillis, sent.sentMillis());
		peer.roundAnswered = Math.max(peer.roundAnswered, sent.round());
		if (peer.snapshot == null || peer.snapshot.index() != chunk.snapshotIndex()) {
			return;
		}
		if (answer.installed()) {
			peer.matched(chunk.snapshotIndex());
			peer.snapshot = null;
		}
		else {
			if (answer.nextOffset() <= chunk.offset()) {
				peer.retryMillis = this.state.now() + this.state.options.heartbeatMillis();
			}
			peer.snapshotOffset = Math.clamp(answer.nextOffset(), 0, chunk.totalBytes());
		}
		progressMade();
	}

	private boolean isAnswerToLeader(long requestTerm, long answerTerm) {
		if (answerTerm > this.state.term) {
			this.member.elections.follow(answerTerm, null);
			return false;
		}
		return this.state.role == MemberRole.LEADER && requestTerm == this.state.term;
	}

	private void progressMade() {
		this.member.proposals.checkRounds();
		this.member.commits.advanceCommit();
		if (this.state.role == MemberRole.LEADER) {
			this.member.changes.advanceChange();
		}
	}

}
