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
 * Elections, terms and leadership transfers. A term and a vote are persisted before they
 * take effect. A voter that is in contact with a leader denies votes to candidates,
 * except in an election that the leader requested as part of a leadership transfer.
 * Guarded by the lock of {@link ControlMember}; callers hold it.
 */
final class Elections {

	// Number of election timeouts for which this member does not become a candidate after
	// a write failure that is not permanent. A full disk rarely has free space again
	// sooner; another member should lead in the meantime.
	private static final long DISK_RETRY_ELECTION_TIMEOUTS = 10;

	private final MemberState state;

	private final ControlMember<?> member;

	private final RandomGenerator random;

	private final Set<String> votes = new HashSet<>();

	/**
	 * Divisor of the election timeout for a member that has had no leader since it
	 * started.
	 */
	private static final long STARTUP_TIMEOUT_DIVISOR = 4;

	private boolean hadLeaderContact;

	private long lastLeaderContactMillis;

	private long electionDeadlineMillis;

	private long diskRetryMillis;

	private long transferDeadlineMillis;

	Elections(MemberState state, ControlMember<?> member, RandomGenerator random) {
		this.state = state;
		this.member = member;
		this.random = random;
		this.lastLeaderContactMillis = state.now();
	}

	boolean grantVote(VoteRequest request) {
		if (this.state.failure != null || hasLeaderContact() && !request.leadershipTransfer()) {
			return false;
		}
		boolean upToDate = request.lastTerm() > this.state.lastTerm()
				|| request.lastTerm() == this.state.lastTerm() && request.lastIndex() >= this.state.log.lastIndex();
		if (request.preVote()) {
			return request.term() > this.state.term && upToDate;
		}
		if (request.term() < this.state.term
				|| request.term() > this.state.term && !becomeFollower(request.term(), null)) {
			return false;
		}
		Optional<String> votedFor = this.state.log.termAndVote().votedFor();
		if (!upToDate || this.state.role != MemberRole.FOLLOWER
				|| votedFor.isPresent() && !votedFor.get().equals(request.candidateId())) {
			return false;
		}
		if (!persist(new TermAndVote(this.state.term, Optional.of(request.candidateId())))) {
			return false;
		}
		resetElectionTimeout();
		return true;
	}

	/**
	 * Returns the time since this member was last in contact with a quorum. It is 0 on a
	 * leader, which steps down within an election timeout if it loses the quorum. A
	 * member that has had no contact with a leader yet counts from its start.
	 * @return milliseconds
	 */
	long quorumContactAgeMillis() {
		return (this.state.role == MemberRole.LEADER) ? 0 : this.state.now() - this.lastLeaderContactMillis;
	}

	/**
	 * Returns the time since a quorum confirmed that this member is the leader.
	 * @return milliseconds; {@link Long#MAX_VALUE} if it is not the leader or transfers
	 * its leadership
	 */
	long leaderQuorumAgeMillis() {
		if (this.state.role != MemberRole.LEADER || this.state.transferTarget != null) {
			return Long.MAX_VALUE;
		}
		long now = this.state.now();
		return now - this.state.history.latest().quorum().highestReachedByQuorum((voter) -> {
			PeerProgress peer = this.state.peers.get(voter);
			return voter.equals(this.state.id) ? now : (peer != null) ? peer.lastContactMillis : 0;
		});
	}

	private boolean hasLeaderContact() {
		return this.state.role == MemberRole.LEADER || this.state.leaderId != null
				&& this.state.now() - this.lastLeaderContactMillis < this.state.options.electionTimeoutMillis();
	}

	private void startPreVote() {
		this.state.role = MemberRole.PRE_CANDIDATE;
		this.state.leaderId = null;
		resetElectionTimeout();
		this.state.publishLeadership();
		requestVotes(new VoteRequest(this.state.term + 1, this.state.id, this.state.log.lastIndex(),
				this.state.lastTerm(), true, false));
		if (hasVoteQuorum()) {
			startElection(false);
		}
	}

	void startElection(boolean leadershipTransfer) {
		if (!persist(new TermAndVote(this.state.term + 1, Optional.of(this.state.id)))) {
			this.state.role = MemberRole.FOLLOWER;
			return;
		}
		this.state.term++;
		this.state.role = MemberRole.CANDIDATE;
		this.state.leaderId = null;
		this.state.verifiedIndex = 0;
		resetElectionTimeout();
		this.state.publishLeadership();
		requestVotes(new VoteRequest(this.state.term, this.state.id, this.state.log.lastIndex(), this.state.lastTerm(),
				false, leadershipTransfer));
		if (hasVoteQuorum()) {
			becomeLeader();
		}
	}

	private void requestVotes(VoteRequest request) {
		this.votes.clear();
		this.votes.add(this.state.id);
		for (PeerProgress peer : this.state.peers.values()) {
			peer.voteRequest = this.state.history.latest().isVoter(peer.member.id()) ? request : null;
			peer.retryAtMillis = 0;
		}
		this.state.stateChanged.signalAll();
	}

	private boolean hasVoteQuorum() {
		return this.state.history.latest().quorum().isSatisfiedBy(this.votes::contains);
	}

	void handleVoteResponse(String peerId, VoteRequest request, VoteResponse response) {
		if (response.term() > this.state.term) {
			becomeFollower(response.term(), null);
			return;
		}
		boolean current = request.preVote()
				? this.state.role == MemberRole.PRE_CANDIDATE && request.term() == this.state.term + 1
				: this.state.role == MemberRole.CANDIDATE && request.term() == this.state.term;
		if (!current || !response.granted()) {
			return;
		}
		this.votes.add(peerId);
		if (hasVoteQuorum()) {
			if (request.preVote()) {
				startElection(false);
			}
			else {
				becomeLeader();
			}
		}
	}

	private void becomeLeader() {
		this.hadLeaderContact = true;
		this.state.role = MemberRole.LEADER;
		this.state.leaderId = this.state.id;
		this.state.transferTarget = null;
		this.state.termStartIndex = this.state.log.lastIndex() + 1;
		this.member.changes.restartCatchUp();
		this.state.peers.values()
			.forEach((peer) -> peer.resetForLeadership(this.state.termStartIndex, this.state.now()));
		Logger.info("control: {} became leader of term {}.", this.state.id, this.state.term);
		// The first leader writes the initial member set to the log, so that members that
		// are added later receive it.
		boolean firstLeader = this.state.history.latestIndex() == 0;
		if (!this.member.commits.appendLeaderEntry(firstLeader ? EntryKind.MEMBERS : EntryKind.NO_OP,
				firstLeader ? this.state.history.latest().toBytes() : MemberState.EMPTY_BYTES)) {
			becomeFollower(this.state.term, null);
		}
		this.state.publishLeadership();
	}

	/**
	 * Becomes a follower.
	 * @param newTerm the current term or a newer one
	 * @param leader id of the leader of that term, or null if unknown
	 * @return false if a newer term could not be persisted; the member then stays in its
	 * current term
	 */
	boolean becomeFollower(long newTerm, String leader) {
		boolean wasLeader = this.state.role == MemberRole.LEADER;
		this.state.role = MemberRole.FOLLOWER;
		this.state.leaderId = null;
		this.state.peers.values().forEach((peer) -> peer.voteRequest = null);
		if (wasLeader) {
			endLeadership();
		}
		if (newTerm > this.state.term) {
			if (!persist(new TermAndVote(newTerm, Optional.empty()))) {
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

	private void endLeadership() {
		Logger.info("control: {} is no longer leader of term {}.", this.state.id, this.state.term);
		this.state.transferTarget = null;
		this.member.proposals.refuseQueued("this member is no longer the leader");
		this.member.proposals.failConfirmations();
		this.member.changes.endChange(new Unknown("leadership was lost; the next leader continues or ends the change"));
		this.state.peers.values().removeIf((peer) -> peer.stopSendingMillis > 0);
		resetElectionTimeout();
		this.state.stateChanged.signalAll();
	}

	void tickLeader() {
		long earliestContact = this.state.now() - this.state.options.electionTimeoutMillis();
		if (!this.state.history.latest()
			.quorum()
			.isSatisfiedBy(
					(voter) -> voter.equals(this.state.id) || this.state.respondedSince(voter, earliestContact))) {
			Logger.warn("control: {} steps down because no quorum has responded for {} ms.", this.state.id,
					this.state.options.electionTimeoutMillis());
			becomeFollower(this.state.term, null);
			return;
		}
		if (this.state.transferTarget != null && this.state.now() >= this.transferDeadlineMillis) {
			Logger.warn("control: Leadership transfer to member {} timed out.", this.state.transferTarget);
			this.state.transferTarget = null;
			this.state.stateChanged.signalAll();
		}
		if (this.state.peers.values().removeIf(this::isRemovalDelivered)) {
			this.state.stateChanged.signalAll();
		}
		this.member.changes.advanceChange();
	}

	void tickFollower() {
		if (this.state.now() >= this.electionDeadlineMillis && this.state.now() >= this.diskRetryMillis
				&& this.state.history.latest().isVoter(this.state.id)) {
			startPreVote();
		}
	}

	private boolean isRemovalDelivered(PeerProgress peer) {
		return peer.stopSendingMillis > 0 && (this.state.now() >= peer.stopSendingMillis
				|| !peer.inFlight && peer.matchIndex >= this.state.history.latestIndex()
						&& peer.sentCommitIndex >= this.state.history.latestIndex());
	}

	void beginTransfer() {
		if (this.state.role != MemberRole.LEADER || this.state.transferTarget != null) {
			return;
		}
		long earliestContact = this.state.now() - this.state.options.electionTimeoutMillis();
		this.state.voterWithHighestMatchIndex()
			.filter((peer) -> peer.lastContactMillis >= earliestContact)
			.ifPresent((peer) -> {
				this.state.transferTarget = peer.member.id();
				this.state.timeoutNowSent = false;
				this.transferDeadlineMillis = this.state.now() + this.state.options.electionTimeoutMillis();
				this.member.proposals.refuseQueued("leadership is being handed over");
				this.state.stateChanged.signalAll();
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
		boolean alreadyFollowing = leaderTerm == this.state.term && this.state.role == MemberRole.FOLLOWER
				&& leader.equals(this.state.leaderId);
		if (!alreadyFollowing && !becomeFollower(leaderTerm, leader)) {
			return false;
		}
		this.hadLeaderContact = true;
		this.lastLeaderContactMillis = this.state.now();
		resetElectionTimeout();
		return true;
	}

	void resetElectionTimeout() {
		long electionTimeoutMillis = this.state.options.electionTimeoutMillis();
		// A member that has just started uses a shorter timeout: after all members have
		// failed and restarted there is no leader, and if there is one, the pre-vote does
		// not disturb it.
		long minimumMillis = this.hadLeaderContact ? electionTimeoutMillis
				: electionTimeoutMillis / STARTUP_TIMEOUT_DIVISOR;
		this.electionDeadlineMillis = this.state.now() + minimumMillis + this.random.nextLong(minimumMillis);
	}

	private boolean persist(TermAndVote value) {
		try {
			this.state.log.saveTermAndVote(value);
			return true;
		}
		catch (StorageException ex) {
			handleStorageFailure(ex);
			return false;
		}
	}

	void handleStorageFailure(StorageException ex) {
		if (ex.isPermanent()) {
			this.member.recovery.stopUntilRepaired(ex);
			return;
		}
		Logger.warn("control: {} cannot write to its disk: {}.", this.state.id, ex.getMessage());
		this.diskRetryMillis = this.state.now()
				+ DISK_RETRY_ELECTION_TIMEOUTS * this.state.options.electionTimeoutMillis();
		beginTransfer();
	}

}
