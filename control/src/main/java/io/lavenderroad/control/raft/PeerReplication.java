package io.lavenderroad.control.raft;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.lavenderroad.control.log.Snapshot;
import io.lavenderroad.core.LavenderroadException;

/**
 * Selects the next message for each peer and handles the responses. At most one call is
 * in flight to a peer, and only synced entries are sent. A commit notice is sent only
 * after the call in flight to the same follower has ended, although it is a one-way
 * message.
 * <p>
 * Guarded by the lock of {@link ControlMember}. Callers hold it, except for callers of
 * {@link #awaitMessageFor(PeerProgress)}, which acquires the lock itself and releases it
 * while waiting.
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
				this.state.stateChanged.await(millisUntilDue(peer), TimeUnit.MILLISECONDS);
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

	void handleResponse(String peerId, PeerMessage sent, Object response) {
		PeerProgress peer = this.state.peers.get(peerId);
		if (peer == null) {
			return;
		}
		peer.inFlight = false;
		if (sent.message() instanceof VoteRequest request && response instanceof VoteResponse vote) {
			this.member.elections.handleVoteResponse(peerId, request, vote);
		}
		else if (sent.message() instanceof AppendRequest request && response instanceof AppendResponse appendResponse) {
			handleAppendResponse(peer, sent, request, appendResponse);
		}
		else if (sent.message() instanceof SnapshotChunk chunk
				&& response instanceof SnapshotResponse snapshotResponse) {
			handleSnapshotResponse(peer, sent, chunk, snapshotResponse);
		}
		this.state.stateChanged.signalAll();
	}

	void handleFailure(String peerId, PeerMessage sent) {
		PeerProgress peer = this.state.peers.get(peerId);
		if (peer == null) {
			return;
		}
		peer.inFlight = false;
		peer.retryAtMillis = this.state.now() + this.state.options.heartbeatMillis();
		peer.sentRound = peer.acknowledgedRound;
		if (sent.message() instanceof VoteRequest request && request.term() >= this.state.term
				&& this.state.role != MemberRole.LEADER && this.state.role != MemberRole.FOLLOWER) {
			peer.voteRequest = request;
		}
	}

	private Optional<PeerMessage> messageFor(PeerProgress peer) {
		if (peer.inFlight || this.state.failure != null) {
			return Optional.empty();
		}
		if (peer.timeoutNow != null) {
			TimeoutNow timeoutNow = peer.timeoutNow;
			peer.timeoutNow = null;
			return Optional.of(createMessage(timeoutNow, false));
		}
		if (peer.voteRequest != null && this.state.now() >= peer.retryAtMillis) {
			VoteRequest vote = peer.voteRequest;
			peer.voteRequest = null;
			return Optional.of(createCall(peer, vote));
		}
		if (this.state.role == MemberRole.LEADER) {
			return leaderMessageFor(peer);
		}
		return Optional.empty();
	}

	private Optional<PeerMessage> leaderMessageFor(PeerProgress peer) {
		if (peer.member.id().equals(this.state.transferTarget) && !this.state.timeoutNowSent
				&& peer.matchIndex == this.state.log.lastIndex()) {
			this.state.timeoutNowSent = true;
			return Optional.of(createMessage(new TimeoutNow(this.state.term, this.state.id), false));
		}
		if (this.state.now() < peer.retryAtMillis) {
			return Optional.empty();
		}
		if (peer.nextIndex < this.state.log.firstIndex() || peer.snapshot != null) {
			return snapshotMessageFor(peer);
		}
		boolean hasEntries = peer.nextIndex <= this.state.log.syncedIndex();
		boolean heartbeatDue = this.state.now() - peer.lastSentMillis >= this.state.options.heartbeatMillis()
				|| peer.sentRound < this.state.confirmationRound;
		if (hasEntries || heartbeatDue) {
			return Optional.of(createCall(peer, appendRequest(peer)));
		}
		if (peer.sentCommitIndex < this.state.commitIndex) {
			peer.sentCommitIndex = this.state.commitIndex;
			return Optional
				.of(createMessage(new CommitNotice(this.state.term, this.state.id, this.state.commitIndex), false));
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
			.of(createCall(peer, new SnapshotChunk(this.state.term, this.state.id, snapshot.index(), snapshot.term(),
					snapshot.members(), snapshot.data().length, peer.snapshotChecksum, peer.snapshotOffset, bytes)));
	}

	private boolean loadSnapshot(PeerProgress peer) {
		try {
			peer.snapshot = this.state.log.snapshot().orElse(null);
		}
		catch (LavenderroadException ex) {
			this.member.stopWithFailure(ex.getMessage());
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

	private PeerMessage createCall(PeerProgress peer, Object message) {
		peer.inFlight = true;
		peer.lastSentMillis = this.state.now();
		peer.sentRound = this.state.confirmationRound;
		if (message instanceof AppendRequest) {
			peer.sentCommitIndex = Math.max(peer.sentCommitIndex, this.state.commitIndex);
		}
		return createMessage(message, true);
	}

	private PeerMessage createMessage(Object message, boolean expectsResponse) {
		return new PeerMessage(message, expectsResponse, this.state.now(), this.state.confirmationRound,
				this.state.commitIndex);
	}

	private long millisUntilDue(PeerProgress peer) {
		if (this.state.role != MemberRole.LEADER || peer.inFlight) {
			return MemberState.MAXIMUM_WAIT_MILLIS;
		}
		long due = Math.max(peer.lastSentMillis + this.state.options.heartbeatMillis(), peer.retryAtMillis);
		return Math.clamp(due - this.state.now(), 1, MemberState.MAXIMUM_WAIT_MILLIS);
	}

	private void handleAppendResponse(PeerProgress peer, PeerMessage sent, AppendRequest request,
			AppendResponse response) {
		if (!isResponseToCurrentLeader(request.term(), response.term())) {
			return;
		}
		if (response.result() == AppendResponse.Result.UNAVAILABLE) {
			peer.retryAtMillis = this.state.now() + this.state.options.heartbeatMillis();
			return;
		}
		peer.lastContactMillis = Math.max(peer.lastContactMillis, sent.sentMillis());
		peer.acknowledgedRound = Math.max(peer.acknowledgedRound, sent.round());
		if (response.result() == AppendResponse.Result.SUCCESS) {
			peer.recordMatch(Math.min(response.index(), request.previousIndex() + request.entries().size()));
			if (peer.matchIndex >= sent.commitIndex()) {
				peer.caughtUpMillis = this.state.now();
			}
		}
		else if (response.result() == AppendResponse.Result.MISMATCH && request.previousIndex() == peer.nextIndex - 1) {
			peer.recordMismatch(response.index());
		}
		onProgress();
	}

	private void handleSnapshotResponse(PeerProgress peer, PeerMessage sent, SnapshotChunk chunk,
			SnapshotResponse response) {
		if (!isResponseToCurrentLeader(chunk.term(), response.term())) {
			return;
		}
		peer.lastContactMillis = Math.max(peer.lastContactMillis, sent.sentMillis());
		peer.acknowledgedRound = Math.max(peer.acknowledgedRound, sent.round());
		if (peer.snapshot == null || peer.snapshot.index() != chunk.snapshotIndex()) {
			return;
		}
		if (response.installed()) {
			peer.recordMatch(chunk.snapshotIndex());
			peer.snapshot = null;
		}
		else {
			if (response.nextOffset() <= chunk.offset()) {
				peer.retryAtMillis = this.state.now() + this.state.options.heartbeatMillis();
			}
			peer.snapshotOffset = Math.clamp(response.nextOffset(), 0, chunk.totalBytes());
		}
		onProgress();
	}

	private boolean isResponseToCurrentLeader(long requestTerm, long responseTerm) {
		if (responseTerm > this.state.term) {
			this.member.elections.becomeFollower(responseTerm, null);
			return false;
		}
		return this.state.role == MemberRole.LEADER && requestTerm == this.state.term;
	}

	private void onProgress() {
		this.member.proposals.completeConfirmations();
		this.member.commits.advanceCommit();
		if (this.state.role == MemberRole.LEADER) {
			this.member.changes.advanceChange();
		}
	}

}
