package io.lavenderroad.control.raft;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.lavenderroad.control.log.EntryKind;
import io.lavenderroad.control.log.StorageException;
import io.lavenderroad.control.log.TermAndVote;
import io.lavenderroad.control.raft.ProposalOutcome.Unknown;
import io.lavenderroad.core.LavenderroadException;
import org.tinylog.Logger;

/**
 * Elections, terms and the hand-over of the leadership. A term and a vote are saved
 * before they count. A voter that hears from a leader ignores candidates, unless the
 * leader hands over. Guarded by the lock of {@link ControlMember}; callers hold it.
 */
final class Elections {

	// A full disk rarely has room again sooner; meanwhile another member should lead.
	private static final long DISK_RETRY_ELECTIONS = 10;

	private final MemberState state;

	private final ControlMember<?> member;

	private final RandomGenerator random;

	private final Set<String> votes = new HashSet<>();

	/**
	 * Part of the election time-out that a member waits while it has heard no leader
	 * since its start.
	 */
	private static final long STARTING_DIVISOR = 4;

	private boolean heardLeader;

	private long leaderContactMillis;

	private long electionMillis;

	private long diskRetryMillis;

	private long transferDeadlineMillis;

	Elections(MemberState state, ControlMember<?> member, RandomGenerator random) {
		this.state = state;
		this.member = member;
		this.random = random;
		this.leaderContactMillis = state.now();
	}

	boolean grantVote(VoteRequest request) {
		if (this.state.failure != null || hearsLeader() && !request.transfer()) {
			return false;
		}
		boolean upToDate = request.lastTerm() > this.state.lastTerm()
				|| request.lastTerm() == this.state.lastTerm() && request.lastIndex() >= this.state.log.lastIndex();
		if (request.preVote()) {
			return request.term() > this.state.term && upToDate;
		}
		if (request.term() < this.state.term || request.term() > this.state.term && !follow(request.term(), null)) {
			return false;
		}
		Optional<String> votedFor = this.state.log.termAndVote().votedFor();
		if (!upToDate || this.state.role != MemberRole.FOLLOWER
				|| votedFor.isPresent() && !votedFor.get().equals(request.candidateId())) {
			return false;
		}
		if (!save(new TermAndVote(this.state.term, Optional.of(request.candidateId())))) {
			return false;
		}
		resetElectionTimeout();
		return true;
	}

	/**
	 * Returns the time since this member was in contact with a quorum. A leader without a
	 * quorum steps down within an election time-out, so its age counts as 0. A member
	 * that never heard a leader counts from its start.
	 * @return milliseconds
	 */
	long quorumContactAgeMillis() {
		return (this.state.role == MemberRole.LEADER) ? 0 : this.state.now() - this.leaderContactMillis;
	}

	private boolean hearsLeader() {
		return this.state.role == MemberRole.LEADER || this.state.leaderId != null
				&& this.state.now() - this.leaderContactMillis < this.state.options.electionTimeoutMillis();
	}

	private void startPreVote() {
		this.state.role = MemberRole.PRE_CANDIDATE;
		this.state.leaderId = null;
		resetElectionTimeout();
		this.state.publishLeadership();
		askForVotes(new VoteRequest(this.state.term + 1, this.state.id, this.state.log.lastIndex(),
				this.state.lastTerm(), true, false));
		if (hasVotes()) {
			startElection(false);
		}
	}

	void startElection(boolean transfer) {
		if (!save(new TermAndVote(this.state.term + 1, Optional.of(this.state.id)))) {
			this.state.role = MemberRole.FOLLOWER;
			return;
		}
		this.state.term++;
		this.state.role = MemberRole.CANDIDATE;
		this.state.leaderId = null;
		this.state.verifiedIndex = 0;
		resetElectionTimeout();
		this.state.publishLeadership();
		askForVotes(new VoteRequest(this.state.term, this.state.id, this.state.log.lastIndex(), this.state.lastTerm(),
				false, transfer));
		if (hasVotes()) {
			lead();
		}
	}

	private void askForVotes(VoteRequest request) {
		this.votes.clear();
		this.votes.add(this.state.id);
		for (PeerProgress peer : this.state.peers.values()) {
			peer.vote = this.state.history.latest().isVoter(peer.member.id()) ? request : null;
			peer.retryMillis = 0;
		}
		this.state.changed.signalAll();
	}

	private boolean hasVotes() {
		return this.state.history.latest().quorum().isSatisfiedBy(this.votes::contains);
	}

	void voteAnswered(String peerId, VoteRequest request, VoteResponse response) {
		if (response.term() > this.state.term) {
			follow(response.term(), null);
			return;
		}
		boolean current = request.preVote()
				? this.state.role == MemberRole.PRE_CANDIDATE && request.term() == this.state.term + 1
				: this.state.role == MemberRole.CANDIDATE && request.term() == this.state.term;
		if (!current || !response.granted()) {
			return;
		}
		this.votes.add(peerId);
		if (hasVotes()) {
			if (request.preVote()) {
				startElection(false);
			}
			else {
				lead();
			}
		}
	}

	private void lead() {
		this.heardLeader = true;
		this.state.role = MemberRole.LEADER;
		this.state.leaderId = this.state.id;
		this.state.transferTarget = null;
		this.state.termStartIndex = this.state.log.lastIndex() + 1;
		this.member.changes.restartCatchUp();
		this.state.peers.values().forEach((peer) -> peer.startLeading(this.state.termStartIndex, this.state.now()));
		Logger.info("control: {} leads term {}.", this.state.id, this.state.term);
		// The first leader stores the member set of the settings, so that a member that
		// is
		// added later receives it.
		boolean first = this.state.history.latestIndex() == 0;
		if (!this.member.commits.appendOwn(first ? EntryKind.MEMBERS : EntryKind.NO_OP,
				first ? this.state.history.latest().toBytes() : MemberState.NOTHING)) {
			follow(this.state.term, null);
		}
		this.state.publishLeadership();
	}

	/**
	 * Becomes a follower.
	 * @param newTerm the current term or a newer one
	 * @param leader the leader of that term, or null if it is not known
	 * @return false if the newer term could not be saved; then it is not entered
	 */
	boolean follow(long newTerm, String leader) {
		boolean wasLeader = this.state.role == MemberRole.LEADER;
		this.state.role = MemberRole.FOLLOWER;
		this.state.leaderId = null;
		this.state.peers.values().forEach((peer) -> peer.vote = null);
		if (wasLeader) {
			stopLeading();
		}
		if (newTerm > this.state.term) {
			if (!save(new TermAndVote(newTerm, Optional.empty()))) {
				this.state.publishLeadership();
				return false;
			}
			this.state.term = newTerm;
			this.state.verifiedIndex = 0;
		}
		this.state.leaderId = leader;
		this.state.publishLeadership();
		return true;
	}

	private void stopLeading() {
		Logger.info("control: {} no longer leads term {}.", this.state.id, this.state.term);
		this.state.transferTarget = null;
		this.member.proposals.refuseQueued("this member is no longer the leader");
		this.member.proposals.endRounds();
		this.member.changes.endChange(new Unknown("leadership was lost; the next leader continues or ends the change"));
		this.state.peers.values().removeIf((peer) -> peer.leaveMillis > 0);
		resetElectionTimeout();
		this.state.changed.signalAll();
	}

	void tickLeader() {
		long oldest = this.state.now() - this.state.options.electionTimeoutMillis();
		if (!this.state.history.latest()
			.quorum()
			.isSatisfiedBy((voter) -> voter.equals(this.state.id) || this.state.answeredSince(voter, oldest))) {
			Logger.warn("control: {} steps down, as no quorum has answered for {} ms.", this.state.id,
					this.state.options.electionTimeoutMillis());
			follow(this.state.term, null);
			return;
		}
		if (this.state.transferTarget != null && this.state.now() >= this.transferDeadlineMillis) {
			Logger.warn("control: Member {} did not take the leadership over.", this.state.transferTarget);
			this.state.transferTarget = null;
			this.state.changed.signalAll();
		}
		if (this.state.peers.values().removeIf(this::hasLeft)) {
			this.state.changed.signalAll();
		}
		this.member.changes.advanceChange();
	}

	void tickFollower() {
		if (this.state.now() >= this.electionMillis && this.state.now() >= this.diskRetryMillis
				&& this.state.history.latest().isVoter(this.state.id)) {
			startPreVote();
		}
	}

	private boolean hasLeft(PeerProgress peer) {
		return peer.leaveMillis > 0 && (this.state.now() >= peer.leaveMillis
				|| !peer.inFlight && peer.matchIndex >= this.state.history.latestIndex()
						&& peer.commitSent >= this.state.history.latestIndex());
	}

	void beginTransfer() {
		if (this.state.role != MemberRole.LEADER || this.state.transferTarget != null) {
			return;
		}
		long oldest = this.state.now() - this.state.options.electionTimeoutMillis();
		this.state.mostRecentVoter().filter((peer) -> peer.answeredMillis >= oldest).ifPresent((peer) -> {
			this.state.transferTarget = peer.member.id();
			this.state.transferSent = false;
			this.transferDeadlineMillis = this.state.now() + this.state.options.electionTimeoutMillis();
			this.member.proposals.refuseQueued("leadership is being handed over");
			this.state.changed.signalAll();
		});
	}

	boolean acceptLeader(long leaderTerm, String leader) {
		if (this.state.failure != null) {
			return false;
		}
		if (leaderTerm == this.state.term && this.state.role == MemberRole.LEADER) {
			throw new LavenderroadException(
					"members " + this.state.id + " and " + leader + " both lead term " + this.state.term);
		}
		boolean known = leaderTerm == this.state.term && this.state.role == MemberRole.FOLLOWER
				&& leader.equals(this.state.leaderId);
		if (!known && !follow(leaderTerm, leader)) {
			return false;
		}
		this.heardLeader = true;
		this.leaderContactMillis = this.state.now();
		resetElectionTimeout();
		return true;
	}

	void resetElectionTimeout() {
		long least = this.state.options.electionTimeoutMillis();
		// A member that has just started asks soon: after a loss of all members nobody
		// leads, and where somebody does the pre-vote harms nothing.
		long shortest = this.heardLeader ? least : least / STARTING_DIVISOR;
		this.electionMillis = this.state.now() + shortest + this.random.nextLong(shortest);
	}

	private boolean save(TermAndVote value) {
		try {
			this.state.log.saveTermAndVote(value);
			return true;
		}
		catch (StorageException ex) {
			storageFailed(ex);
			return false;
		}
	}

	void storageFailed(StorageException ex) {
		if (ex.isPermanent()) {
			this.member.stopWith(ex.getMessage());
			return;
		}
		Logger.warn("control: {} cannot write: {}.", this.state.id, ex.getMessage());
		this.diskRetryMillis = this.state.now() + DISK_RETRY_ELECTIONS * this.state.options.electionTimeoutMillis();
		beginTransfer();
	}

}
