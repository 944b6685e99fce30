package io.lavenderroad.control.raft;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.lavenderroad.control.log.EntryKind;
import io.lavenderroad.control.log.LogEntry;
import io.lavenderroad.control.raft.ProposalOutcome.Accepted;
import io.lavenderroad.control.raft.ProposalOutcome.NotRun;
import org.tinylog.Logger;

/**
 * Changes the member set, one change at a time: an added member joins as a learner, is
 * caught up and is promoted to voter before the replaced member is removed. Each step
 * starts only after the previous one is committed. Guarded by the lock of
 * {@link ControlMember}; callers hold it.
 */
final class MemberChanges {

	/**
	 * Interval between checks for surplus voters.
	 */
	private static final long SURPLUS_CHECK_INTERVAL_MILLIS = 250;

	private final MemberState state;

	private final ControlMember<?> member;

	private CompletableFuture<ProposalOutcome> changeOutcome;

	private String abandonReason;

	private long catchUpDeadlineMillis;

	private long nextSurplusCheckMillis;

	MemberChanges(MemberState state, ControlMember<?> member) {
		this.state = state;
		this.member = member;
	}

	void beginChange(MemberChange change, CompletableFuture<ProposalOutcome> outcome) {
		Optional<String> refusalReason = refusalReason(change);
		if (refusalReason.isPresent()) {
			this.state.refuse(outcome, refusalReason.get());
			return;
		}
		this.changeOutcome = outcome;
		this.abandonReason = null;
		restartCatchUp();
		if (!this.member.commits.appendLeaderEntry(EntryKind.MEMBERS,
				this.state.history.latest().begin(change).toBytes())) {
			endChange(new NotRun("the disk refused the change", Optional.empty()));
		}
	}

	/**
	 * Handles a join request and begins the member change that adds the process if it is
	 * not a member.
	 * @param request the request
	 * @return whether the process is a member; on a follower the address of the leader
	 */
	JoinResponse join(JoinRequest request) {
		if (this.state.role != MemberRole.LEADER) {
			return new JoinResponse(false, this.state.leader().map(Member::address));
		}
		boolean member = this.state.history.latest().find(request.id()).isPresent();
		if (!member) {
			beginAutomaticChange(decision().changeForJoin(request));
		}
		return new JoinResponse(member, Optional.empty());
	}

	/**
	 * Handles the request of a process that ends, and begins its removal if the group has
	 * more voters than its target.
	 * @param request the request
	 * @return whether the process may end; on a follower the address of the leader
	 */
	LeaveResponse leave(LeaveRequest request) {
		if (this.state.role != MemberRole.LEADER) {
			return new LeaveResponse(false, this.state.leader().map(Member::address));
		}
		Optional<MemberChange> removal = decision().changeForLeave(request.id());
		removal.ifPresent(this::beginAutomaticChange);
		return new LeaveResponse(removal.isEmpty() && !isChanging(), Optional.empty());
	}

	/**
	 * Returns whether this member is a voter that the group may not need any more.
	 * @return true if the group has more voters than its target, or is about to change
	 */
	boolean mayBeSurplus() {
		return this.state.history.latest().isVoter(this.state.id) && (decision().hasSurplus() || isChanging());
	}

	private boolean isChanging() {
		return this.state.history.latest().change().isPresent()
				|| this.state.history.latestIndex() > this.state.commitIndex;
	}

	/**
	 * Removes an unreachable voter if the group has more voters than its target. Called
	 * on the leader.
	 */
	void removeSurplusVoter() {
		long now = this.state.now();
		if (now >= this.nextSurplusCheckMillis && this.state.history.latest().change().isEmpty()) {
			this.nextSurplusCheckMillis = now + SURPLUS_CHECK_INTERVAL_MILLIS;
			decision().surplusRemoval().ifPresent(this::beginAutomaticChange);
		}
	}

	private void beginAutomaticChange(MemberChange change) {
		CompletableFuture<ProposalOutcome> outcome = new CompletableFuture<>();
		outcome.thenAccept((result) -> Logger.info("control: Member change {} ended: {}.", change, result));
		beginChange(change, outcome);
	}

	private MembershipDecision decision() {
		return new MembershipDecision(this.state.history.latest(), this.state.options.targetVoters(), (id) -> {
			PeerProgress peer = this.state.peers.get(id);
			return (peer != null) ? this.state.now() - peer.lastContactMillis : 0;
		});
	}

	void restartCatchUp() {
		this.catchUpDeadlineMillis = this.state.now() + this.state.options.catchUpTimeoutMillis();
	}

	private Optional<String> refusalReason(MemberChange change) {
		MemberSet set = this.state.history.latest();
		if (this.state.failure != null || this.state.role != MemberRole.LEADER || this.state.transferTarget != null) {
			return Optional.of("this member is not the leader or hands the leadership over");
		}
		if (this.state.commitIndex < this.state.termStartIndex) {
			return Optional.of("the leader has not yet committed an entry of its term");
		}
		if (isChanging()) {
			return Optional.of("another member change is in progress");
		}
		if (change.added().isPresent() && set.find(change.added().get().id()).isPresent()) {
			return Optional.of("member " + change.added().get().id() + " is already in the group");
		}
		if (change.added().isPresent() && !PeerTask.isValidAddress(change.added().get().address())) {
			return Optional.of("address '" + change.added().get().address() + "' is not of the form ip:port");
		}
		if (change.removed().isPresent() && set.find(change.removed().get()).isEmpty()) {
			return Optional.of("member " + change.removed().get() + " is not in the group");
		}
		return change.added().isPresent() ? Optional.empty() : removalRefusalReason(set.begin(change));
	}

	private Optional<String> removalRefusalReason(MemberSet next) {
		long earliestContact = this.state.now() - this.state.options.electionTimeoutMillis();
		boolean quorumRemains = next.quorum()
			.isSatisfiedBy((voter) -> voter.equals(this.state.id) || this.state.respondedSince(voter, earliestContact));
		return quorumRemains ? Optional.empty() : Optional.of("the remaining voters that answer would be no quorum");
	}

	/**
	 * Starts the next step of the change in progress once the previous step is committed.
	 */
	void advanceChange() {
		MemberSet set = this.state.history.latest();
		if (set.change().isEmpty() || this.state.history.latestIndex() > this.state.commitIndex
				|| this.state.commitIndex < this.state.termStartIndex || this.state.transferTarget != null) {
			return;
		}
		String added = set.change().get().added().orElseThrow().id();
		if (set.isVoter(added)) {
			this.member.commits.appendLeaderEntry(EntryKind.MEMBERS, set.removeReplaced().toBytes());
			return;
		}
		PeerProgress peer = this.state.peers.get(added);
		if (peer != null && this.state.now() - peer.caughtUpMillis <= this.state.options.electionTimeoutMillis()) {
			this.member.commits.appendLeaderEntry(EntryKind.MEMBERS, set.promoteAdded().toBytes());
		}
		else if (this.state.now() >= this.catchUpDeadlineMillis) {
			this.abandonReason = "member " + added + " did not catch up in time";
			this.member.commits.appendLeaderEntry(EntryKind.MEMBERS, set.removeAdded().toBytes());
		}
	}

	void memberSetCommitted() {
		MemberSet set = this.state.history.latest();
		if (this.state.history.latestIndex() > this.state.commitIndex) {
			return;
		}
		if (set.change().isEmpty()) {
			endChange((this.abandonReason != null) ? new NotRun(this.abandonReason, Optional.empty())
					: new Accepted(MemberState.EMPTY_BYTES, this.state.history.latestIndex()));
		}
		if (set.find(this.state.id).isEmpty()) {
			Logger.info("control: {} was removed from the group and steps down.", this.state.id);
			this.state.voterWithHighestMatchIndex()
				.ifPresent((peer) -> peer.timeoutNow = new TimeoutNow(this.state.term, this.state.id));
			this.member.elections.becomeFollower(this.state.term, null);
		}
		else {
			advanceChange();
		}
	}

	void endChange(ProposalOutcome outcome) {
		if (this.changeOutcome != null) {
			this.state.complete(this.changeOutcome, outcome);
			this.changeOutcome = null;
		}
	}

	void recordMemberSet(LogEntry entry) {
		if (entry.kind() == EntryKind.MEMBERS) {
			this.state.history.add(entry.index(), MemberSet.fromBytes(entry.payload()));
		}
	}

	void updatePeers() {
		MemberSet set = this.state.history.latest();
		for (Member member : set.members()) {
			PeerProgress progress = this.state.peers.get(member.id());
			if (progress != null) {
				progress.stopSendingMillis = 0;
			}
			else if (!member.id().equals(this.state.id)) {
				addPeer(member);
			}
		}
		// The leader keeps replicating to a removed member for a while, so that the
		// member receives the entry that removes it.
		long stopSending = this.state.now() + 4 * this.state.options.electionTimeoutMillis();
		this.state.peers.values().removeIf((peer) -> {
			boolean removed = set.find(peer.member.id()).isEmpty();
			if (removed && peer.stopSendingMillis == 0) {
				peer.stopSendingMillis = stopSending;
			}
			return removed && this.state.role != MemberRole.LEADER;
		});
		this.state.stateChanged.signalAll();
	}

	private void addPeer(Member member) {
		PeerProgress peer = new PeerProgress(member);
		peer.resetForLeadership(this.state.log.lastIndex() + 1, this.state.now());
		this.state.peers.put(member.id(), peer);
		this.member.tasks.startPeerTask(peer);
	}

}
