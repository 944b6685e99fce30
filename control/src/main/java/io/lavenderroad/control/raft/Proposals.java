package io.lavenderroad.control.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import io.lavenderroad.control.log.EntryKind;
import io.lavenderroad.control.log.LogEntry;
import io.lavenderroad.control.log.StorageException;
import io.lavenderroad.control.raft.ProposalOutcome.Accepted;
import io.lavenderroad.control.raft.ProposalOutcome.Unknown;

/**
 * Proposals and leadership confirmations of a leader, from submission to outcome. Each
 * proposal ends exactly once as accepted, not run or unknown, and each confirmation
 * exactly once with or without proof of leadership. Guarded by the lock of
 * {@link ControlMember}; callers hold it. Outcomes are completed through the event queue
 * after the lock is released.
 */
final class Proposals {

	private static final long MAXIMUM_QUEUED_BYTES = 64L * 1024 * 1024;

	private final MemberState state;

	private final ControlMember<?> member;

	private final Queue<Proposal> queue = new ArrayDeque<>();

	private final Map<Long, List<Proposal.Appended>> pending = new TreeMap<>();

	private final List<LeadershipConfirmation> confirmations = new ArrayList<>();

	private long queuedBytes;

	Proposals(MemberState state, ControlMember<?> member) {
		this.state = state;
		this.member = member;
	}

	void enqueue(Proposal proposal) {
		if (this.state.failure != null) {
			this.state.refuse(proposal.outcome(), "member has stopped: " + this.state.failure);
		}
		else if (this.state.role != MemberRole.LEADER) {
			this.state.refuse(proposal.outcome(), "this member is not the leader");
		}
		else if (this.state.transferTarget != null) {
			this.state.refuse(proposal.outcome(), "leadership is being handed over");
		}
		else if (proposal.command().length > this.state.options.maximumCommandBytes()) {
			this.state.refuse(proposal.outcome(), "command of " + proposal.command().length
					+ " bytes is over the limit of " + this.state.options.maximumCommandBytes());
		}
		else if (this.queuedBytes + proposal.command().length > MAXIMUM_QUEUED_BYTES) {
			this.state.refuse(proposal.outcome(), "too many proposals are waiting");
		}
		else {
			this.queue.add(proposal);
			this.queuedBytes += proposal.command().length;
			this.state.stateChanged.signalAll();
		}
	}

	boolean hasQueued() {
		return !this.queue.isEmpty();
	}

	boolean hasPending() {
		return !this.pending.isEmpty();
	}

	void beginConfirmation(CompletableFuture<OptionalLong> outcome) {
		if (this.state.role != MemberRole.LEADER) {
			this.state.complete(outcome, OptionalLong.empty());
			return;
		}
		this.state.confirmationRound++;
		this.confirmations.add(new LeadershipConfirmation(this.state.confirmationRound,
				Math.max(this.state.commitIndex, this.state.termStartIndex),
				this.state.now() + this.state.options.proposalTimeoutMillis(), outcome));
		completeConfirmations();
		this.state.stateChanged.signalAll();
	}

	void failConfirmations() {
		this.confirmations.forEach((confirmation) -> this.state.complete(confirmation.outcome(), OptionalLong.empty()));
		this.confirmations.clear();
	}

	void endPendingAsUnknown(String reason) {
		this.pending.values()
			.forEach((list) -> list
				.forEach((appended) -> this.state.complete(appended.proposal().outcome(), new Unknown(reason))));
		this.pending.clear();
	}

	void endCoveredBySnapshot(long snapshotIndex) {
		this.pending.entrySet().removeIf((entry) -> {
			boolean covered = entry.getKey() <= snapshotIndex;
			if (covered) {
				entry.getValue()
					.forEach((appended) -> this.state.complete(appended.proposal().outcome(),
							new Unknown("a snapshot replaced the log before the result was known")));
			}
			return covered;
		});
	}

	void entryApplied(LogEntry entry, byte[] result) {
		List<Proposal.Appended> proposals = this.pending.remove(entry.index());
		if (proposals != null) {
			proposals.forEach((appended) -> completeCommitted(appended, entry, result));
		}
	}

	boolean appendBatch(List<Proposal> batch) {
		if (this.state.role != MemberRole.LEADER || this.state.failure != null) {
			refuseQueued("this member is not the leader");
			return false;
		}
		List<LogEntry> entries = takeBatch(batch);
		if (entries.isEmpty()) {
			return false;
		}
		try {
			this.state.log.append(entries);
		}
		catch (StorageException ex) {
			handleBatchFailure(batch, ex);
			return false;
		}
		for (int position = 0; position < entries.size(); position++) {
			this.pending.computeIfAbsent(entries.get(position).index(), (index) -> new ArrayList<>())
				.add(new Proposal.Appended(batch.get(position), this.state.term));
		}
		return true;
	}

	private List<LogEntry> takeBatch(List<Proposal> batch) {
		List<LogEntry> entries = new ArrayList<>();
		long bytes = 0;
		while (!this.queue.isEmpty() && bytes < this.state.options.batchBytes()) {
			Proposal proposal = this.queue.remove();
			batch.add(proposal);
			bytes += proposal.command().length;
			entries.add(new LogEntry(this.state.log.lastIndex() + 1 + entries.size(), this.state.term,
					EntryKind.COMMAND, proposal.command()));
		}
		this.queuedBytes -= bytes;
		return entries;
	}

	private void handleBatchFailure(List<Proposal> batch, StorageException ex) {
		if (ex.isPermanent()) {
			batch.forEach((proposal) -> this.state.complete(proposal.outcome(), new Unknown(ex.getMessage())));
		}
		else {
			batch.forEach((proposal) -> this.state.refuse(proposal.outcome(), ex.getMessage()));
		}
		this.member.elections.handleStorageFailure(ex);
	}

	void completeConfirmations() {
		for (Iterator<LeadershipConfirmation> iterator = this.confirmations.iterator(); iterator.hasNext();) {
			LeadershipConfirmation confirmation = iterator.next();
			boolean acknowledged = this.state.history.latest()
				.quorum()
				.isSatisfiedBy((voter) -> voter.equals(this.state.id) || hasAcknowledged(voter, confirmation.round()));
			if (acknowledged && this.state.commitIndex >= confirmation.readIndex()) {
				iterator.remove();
				this.state.complete(confirmation.outcome(), OptionalLong.of(confirmation.readIndex()));
			}
		}
	}

	private boolean hasAcknowledged(String peerId, long round) {
		PeerProgress peer = this.state.peers.get(peerId);
		return peer != null && peer.acknowledgedRound >= round;
	}

	void expireOverdue() {
		long now = this.state.now();
		while (!this.queue.isEmpty() && this.queue.element().deadlineMillis() <= now) {
			this.queuedBytes -= this.queue.element().command().length;
			this.state.refuse(this.queue.remove().outcome(), "the proposal was not written in time");
		}
		this.confirmations.removeIf((confirmation) -> {
			if (confirmation.deadlineMillis() > now) {
				return false;
			}
			this.state.complete(confirmation.outcome(), OptionalLong.empty());
			return true;
		});
		this.pending.values().forEach((list) -> list.removeIf((appended) -> {
			if (appended.proposal().deadlineMillis() > now) {
				return false;
			}
			this.state.complete(appended.proposal().outcome(), new Unknown("the entry was not committed in time"));
			return true;
		}));
		this.pending.values().removeIf(List::isEmpty);
	}

	void refuseQueued(String reason) {
		this.queue.forEach((proposal) -> this.state.refuse(proposal.outcome(), reason));
		this.queue.clear();
		this.queuedBytes = 0;
	}

	private void completeCommitted(Proposal.Appended appended, LogEntry committed, byte[] result) {
		if (appended.term() == committed.term()) {
			this.state.complete(appended.proposal().outcome(), new Accepted(result, committed.index()));
		}
		else {
			// A different entry is committed at this index, so the proposed entry can
			// never be committed.
			this.state.refuse(appended.proposal().outcome(), "a newer leader committed another entry in its place");
		}
	}

}
