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
 * Proposals of a leader and the quorum rounds of its readers, from submission to outcome.
 * Every proposal and round ends once: accepted, not run, unknown, or without proof of
 * leadership. Guarded by the lock of {@link ControlMember}; callers hold it. Outcomes are
 * completed through the event queue, after the lock is released.
 */
final class Proposals {

	private static final long MOST_QUEUED_BYTES = 64L * 1024 * 1024;

	private final MemberState state;

	private final ControlMember<?> member;

	private final Queue<Proposal> queue = new ArrayDeque<>();

	private final Map<Long, List<Proposal.Appended>> pending = new TreeMap<>();

	private final List<LeadershipRound> rounds = new ArrayList<>();

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
		else if (proposal.command().length > this.state.options.largestCommandBytes()) {
			this.state.refuse(proposal.outcome(), "command of " + proposal.command().length
					+ " bytes is over the limit of " + this.state.options.largestCommandBytes());
		}
		else if (this.queuedBytes + proposal.command().length > MOST_QUEUED_BYTES) {
			this.state.refuse(proposal.outcome(), "too many proposals are waiting");
		}
		else {
			this.queue.add(proposal);
			this.queuedBytes += proposal.command().length;
			this.state.changed.signalAll();
		}
	}

	boolean hasQueued() {
		return !this.queue.isEmpty();
	}

	boolean hasPending() {
		return !this.pending.isEmpty();
	}

	void beginRound(CompletableFuture<OptionalLong> outcome) {
		if (this.state.role != MemberRole.LEADER) {
			this.state.complete(outcome, OptionalLong.empty());
			return;
		}
		this.state.round++;
		this.rounds
			.add(new LeadershipRound(this.state.round, Math.max(this.state.commitIndex, this.state.termStartIndex),
					this.state.now() + this.state.options.proposalTimeoutMillis(), outcome));
		checkRounds();
		this.state.changed.signalAll();
	}

	void endRounds() {
		this.rounds.forEach((waiting) -> this.state.complete(waiting.outcome(), OptionalLong.empty()));
		this.rounds.clear();
	}

	void endPending(String reason) {
		this.pending.values()
			.forEach((list) -> list
				.forEach((appended) -> this.state.complete(appended.proposal().outcome(), new Unknown(reason))));
		this.pending.clear();
	}

	void endReplaced(long snapshotIndex) {
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

	void applied(LogEntry entry, byte[] result) {
		List<Proposal.Appended> waiting = this.pending.remove(entry.index());
		if (waiting != null) {
			waiting.forEach((appended) -> resolve(appended, entry, result));
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
			batchFailed(batch, ex);
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

	private void batchFailed(List<Proposal> batch, StorageException ex) {
		if (ex.isPermanent()) {
			batch.forEach((proposal) -> this.state.complete(proposal.outcome(), new Unknown(ex.getMessage())));
		}
		else {
			batch.forEach((proposal) -> this.state.refuse(proposal.outcome(), ex.getMessage()));
		}
		this.member.elections.storageFailed(ex);
	}

	void checkRounds() {
		for (Iterator<LeadershipRound> iterator = this.rounds.iterator(); iterator.hasNext();) {
			LeadershipRound waiting = iterator.next();
			boolean answered = this.state.history.latest()
				.quorum()
				.isSatisfiedBy((voter) -> voter.equals(this.state.id) || hasAnswered(voter, waiting.round()));
			if (answered && this.state.commitIndex >= waiting.index()) {
				iterator.remove();
				this.state.complete(waiting.outcome(), OptionalLong.of(waiting.index()));
			}
		}
	}

	private boolean hasAnswered(String peerId, long wanted) {
		PeerProgress peer = this.state.peers.get(peerId);
		return peer != null && peer.roundAnswered >= wanted;
	}

	void expireWaiting() {
		long now = this.state.now();
		while (!this.queue.isEmpty() && this.queue.element().deadlineMillis() <= now) {
			this.queuedBytes -= this.queue.element().command().length;
			this.state.refuse(this.queue.remove().outcome(), "the proposal was not written in time");
		}
		this.rounds.removeIf((waiting) -> {
			if (waiting.deadlineMillis() > now) {
				return false;
			}
			this.state.complete(waiting.outcome(), OptionalLong.empty());
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

	private void resolve(Proposal.Appended appended, LogEntry committed, byte[] result) {
		if (appended.term() == committed.term()) {
			this.state.complete(appended.proposal().outcome(), new Accepted(result, committed.index()));
		}
		else {
			// Another entry was committed at the index, so this one never can be.
			this.state.refuse(appended.proposal().outcome(), "a newer leader committed another entry in its place");
		}
	}

}
