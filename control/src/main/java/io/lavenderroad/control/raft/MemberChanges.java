package io.lavenderroad.control.raft;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.lavenderroad.control.log.EntryKind;
import io.lavenderroad.control.log.LogEntry;
import io.lavenderroad.control.raft.ProposalOutcome.Accepted;
import io.lavenderroad.control.raft.ProposalOutcome.NotRun;
import org.tinylog.Logger;

/**
 * Changes of the member set, one at a time: an added member is caught up and becomes a
 * voter before the replaced one is removed. A step is taken only after the one before it
 * is committed. Guarded by the lock of {@link ControlMember}; callers hold it.
 */
final class MemberChanges {

	/**
	 * Interval of the checks for surplus voters.
	 */
	private static final long SURPLUS_MILLIS = 1_000;

	private final MemberState state;

	private final ControlMember<?> member;

	private CompletableFuture<ProposalOutcome> changeOutcome;

	private String changeGivenUp;

	private long catchUpDeadlineMillis;

	private long nextSurplusMillis;

	MemberChanges(MemberState state, ControlMember<?> member) {
		this.state = state;
		this.member = member;
	}

	void beginChange(MemberChange change, CompletableFuture<ProposalOutcome> outcome) {
		Optional<String> refusal = refusal(change);
		if (refusal.isPresent()) {
			this.state.refuse(outcome, refusal.get());
			return;
		}
		this.changeOutcome = outcome;
		this.changeGivenUp = null;
		restartCatchUp();
		if (!this.member.commits.appendOwn(EntryKind.MEMBERS, this.state.history.latest().begin(change).toBytes())) {
			endChange(new NotRun("the disk refused the change", Optional.empty()));
		}
	}

	/**
	 * Answers a process that asks to join, and begins the change that takes it in.
	 * @param request the request
	 * @return whether the process is a member, or who leads
	 */
	JoinAnswer join(JoinRequest request) {
		if (this.state.role != MemberRole.LEADER) {
			return new JoinAnswer(false, this.state.leader().map(Member::address));
		}
		boolean member = this.state.history.latest().find(request.id()).isPresent();
		if (!member) {
			beginOwn(decision().join(request));
		}
		return new JoinAnswer(member, Optional.empty());
	}

	/**
	 * Gives up a lost voter of a group that has more than its usual voters. Called by the
	 * leader.
	 */
	void giveUpSurplus() {
		long now = this.state.now();
		if (now >= this.nextSurplusMillis && this.state.history.latest().change().isEmpty()) {
			this.nextSurplusMillis = now + SURPLUS_MILLIS;
			decision().surplus().ifPresent(this::beginOwn);
		}
	}

	private void beginOwn(MemberChange change) {
		CompletableFuture<ProposalOutcome> outcome = new CompletableFuture<>();
		outcome.thenAccept((result) -> Logger.info("control: Member change {}: {}.", change, result));
		beginChange(change, outcome);
	}

	private JoinDecision decision() {
		return new JoinDecision(this.state.history.latest(), this.state.options.usualVoters(), (id) -> {
			PeerProgress peer = this.state.peers.get(id);
			return (peer != null) ? this.state.now() - peer.answeredMillis : 0;
		});
	}

	void restartCatchUp() {
		this.catchUpDeadlineMillis = this.state.now() + this.state.options.catchUpTimeoutMillis();
	}

	private Optional<String> refusal(MemberChange change) {
		MemberSet set = this.state.history.latest();
		if (this.state.failure != null || this.state.role != MemberRole.LEADER || this.state.transferTarget != null) {
			return Optional.of("this member is not the leader or hands the leadership over");
		}
		if (this.state.commitIndex < this.state.termStartIndex) {
			return Optional.of("the leader has not yet committed an entry of its term");
		}
		if (set.change().isPresent() || this.state.history.latestIndex() > this.state.commitIndex) {
			return Optional.of("another member change is in progress");
		}
		if (change.added().isPresent() && set.find(change.added().get().id()).isPresent()) {
			return Optional.of("member " + change.added().get().id() + " is already in the group");
		}
		if (change.added().isPresent() && !PeerTask.isAddress(change.added().get().address())) {
			return Optional.of("address '" + change.added().get().address() + "' is not of the form ip:port");
		}
		if (change.removed().isPresent() && set.find(change.removed().get()).isEmpty()) {
			return Optional.of("member " + change.removed().get() + " is not in the group");
		}
		return change.added().isPresent() ? Optional.empty() : removalRefusal(set.begin(change));
	}

	private Optional<String> removalRefusal(MemberSet next) {
		long oldest = this.state.now() - this.state.options.electionTimeoutMillis();
		boolean works = next.quorum()
			.isSatisfiedBy((voter) -> voter.equals(this.state.id) || this.state.answeredSince(voter, oldest));
		return works ? Optional.empty() : Optional.of("the remaining voters that answer would be no quorum");
	}

	/**
	 * Takes the next step of the change in progress, once the step before is committed.
	 */
	void advanceChange() {
		MemberSet set = this.state.history.latest();
		if (set.change().isEmpty() || this.state.history.latestIndex() > this.state.commitIndex
				|| this.state.commitIndex < this.state.termStartIndex || this.state.transferTarget != null) {
			return;
		}
		String added = set.change().get().added().orElseThrow().id();
		if (set.isVoter(added)) {
			this.member.commits.appendOwn(EntryKind.MEMBERS, set.removeReplaced().toBytes());
			return;
		}
		PeerProgress peer = this.state.peers.get(added);
		if (peer != null && this.state.now() - peer.caughtUpMillis <= this.state.options.electionTimeoutMillis()) {
			this.member.commits.appendOwn(EntryKind.MEMBERS, set.promoteAdded().toBytes());
		}
		else if (this.state.now() >= this.catchUpDeadlineMillis) {
			this.changeGivenUp = "member " + added + " did not catch up in time";
			this.member.commits.appendOwn(EntryKind.MEMBERS, set.giveUpAdded().toBytes());
		}
	}

	void memberSetCommitted() {
		MemberSet set = this.state.history.latest();
		if (this.state.history.latestIndex() > this.state.commitIndex) {
			return;
		}
		if (set.change().isEmpty()) {
			endChange((this.changeGivenUp != null) ? new NotRun(this.changeGivenUp, Optional.empty())
					: new Accepted(MemberState.NOTHING, this.state.history.latestIndex()));
		}
		if (set.find(this.state.id).isEmpty()) {
			Logger.info("control: {} was removed from the group and steps down.", this.state.id);
			this.state.mostRecentVoter()
				.ifPresent((peer) -> peer.handover = new TimeoutNow(this.state.term, this.state.id));
			this.member.elections.follow(this.state.term, null);
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

	void rememberMembers(LogEntry entry) {
		if (entry.kind() == EntryKind.MEMBERS) {
			this.state.history.add(entry.index(), MemberSet.fromBytes(entry.payload()));
		}
	}

	void updatePeers() {
		MemberSet set = this.state.history.latest();
		for (Member member : set.members()) {
			PeerProgress known = this.state.peers.get(member.id());
			if (known != null) {
				known.leaveMillis = 0;
			}
			else if (!member.id().equals(this.state.id)) {
				addPeer(member);
			}
		}
		// The leader keeps sending to a removed member for a while, so that it learns of
		// its
		// removal.
		long leave = this.state.now() + 4 * this.state.options.electionTimeoutMillis();
		this.state.peers.values().removeIf((peer) -> {
			boolean gone = set.find(peer.member.id()).isEmpty();
			if (gone && peer.leaveMillis == 0) {
				peer.leaveMillis = leave;
			}
			return gone && this.state.role != MemberRole.LEADER;
		});
		this.state.changed.signalAll();
	}

	private void addPeer(Member member) {
		PeerProgress peer = new PeerProgress(member);
		peer.startLeading(this.state.log.lastIndex() + 1, this.state.now());
		this.state.peers.put(member.id(), peer);
		this.member.tasks.startPeerTask(peer);
	}

}
