package io.lavenderroad.control.raft;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.lavenderroad.control.log.EntryKind;
import io.lavenderroad.control.log.LogEntry;
import io.lavenderroad.control.log.Snapshot;
import io.lavenderroad.control.log.StorageException;
import io.lavenderroad.core.LavenderroadException;

/**
 * Stores entries and snapshots received from the leader. Entries are synced before they
 * are acknowledged, and a committed entry is never replaced. Guarded by the lock of
 * {@link ControlMember}; callers hold it, and for a snapshot also the apply lock.
 */
final class LogReceiver {

	private final MemberState state;

	private final ControlMember<?> member;

	private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();

	LogReceiver(MemberState state, ControlMember<?> member) {
		this.state = state;
		this.member = member;
	}

	AppendResponse append(AppendRequest request) {
		if (request.term() < this.state.term) {
			return new AppendResponse(this.state.term, AppendResponse.Result.OLD_TERM, 0);
		}
		if (!this.member.elections.acceptLeader(request.term(), request.leaderId())) {
			return new AppendResponse(this.state.term, AppendResponse.Result.UNAVAILABLE, 0);
		}
		OptionalLong lastPossibleIndex = lastPossibleMatch(request);
		if (lastPossibleIndex.isPresent()) {
			return new AppendResponse(this.state.term, AppendResponse.Result.MISMATCH, lastPossibleIndex.getAsLong());
		}
		long last = request.previousIndex() + request.entries().size();
		try {
			store(request.entries(), last);
		}
		catch (StorageException ex) {
			this.member.elections.handleStorageFailure(ex);
			return new AppendResponse(this.state.term, AppendResponse.Result.UNAVAILABLE, 0);
		}
		this.state.verifiedIndex = Math.max(this.state.verifiedIndex, last);
		this.member.commits.advanceFollowerCommit(request.commitIndex());
		return new AppendResponse(this.state.term, AppendResponse.Result.SUCCESS, last);
	}

	private OptionalLong lastPossibleMatch(AppendRequest request) {
		long previous = request.previousIndex();
		if (previous < this.state.log.firstIndex() - 1) {
			// The snapshot covers only committed entries, which match those of the
			// leader.
			return OptionalLong.empty();
		}
		OptionalLong localTerm = this.state.log.term(previous);
		if (localTerm.isEmpty()) {
			return OptionalLong.of(this.state.log.lastIndex());
		}
		if (localTerm.getAsLong() == request.previousTerm()) {
			return OptionalLong.empty();
		}
		long index = previous;
		while (index > this.state.commitIndex && this.state.log.term(index).equals(localTerm)) {
			index--;
		}
		return OptionalLong.of(index);
	}

	private void store(List<LogEntry> entries, long last) {
		List<LogEntry> missing = missing(entries);
		if (!missing.isEmpty()) {
			if (missing.getFirst().index() <= this.state.log.lastIndex()) {
				truncate(missing.getFirst().index());
			}
			this.state.log.append(missing);
			missing.forEach(this.member.changes::recordMemberSet);
		}
		if (this.state.log.syncedIndex() < last) {
			this.state.log.sync();
		}
		if (missing.stream().anyMatch((entry) -> entry.kind() == EntryKind.MEMBERS)) {
			this.member.changes.updatePeers();
		}
	}

	private List<LogEntry> missing(List<LogEntry> entries) {
		for (int position = 0; position < entries.size(); position++) {
			LogEntry entry = entries.get(position);
			boolean compacted = entry.index() < this.state.log.firstIndex();
			if (!compacted && this.state.log.term(entry.index()).orElse(-1) != entry.term()) {
				return entries.subList(position, entries.size());
			}
		}
		return List.of();
	}

	private void truncate(long index) {
		if (index <= this.state.commitIndex) {
			this.member.stopWithFailure("leader sent another entry " + index + " than the committed one");
			throw new LavenderroadException(this.state.failure);
		}
		this.state.log.truncateFrom(index);
		this.state.history.truncateFrom(index);
		this.member.changes.updatePeers();
	}

	SnapshotResponse receiveSnapshot(SnapshotChunk chunk) {
		if (chunk.term() < this.state.term || !this.member.elections.acceptLeader(chunk.term(), chunk.leaderId())) {
			return new SnapshotResponse(this.state.term, 0, false);
		}
		if (chunk.snapshotIndex() <= this.state.commitIndex) {
			return new SnapshotResponse(this.state.term, 0, true);
		}
		Optional<Snapshot> complete = this.snapshotReceiver.add(chunk);
		if (complete.isEmpty()) {
			return new SnapshotResponse(this.state.term, this.snapshotReceiver.nextOffset(), false);
		}
		try {
			install(complete.get());
			return new SnapshotResponse(this.state.term, 0, true);
		}
		catch (StorageException ex) {
			this.member.elections.handleStorageFailure(ex);
			return new SnapshotResponse(this.state.term, 0, false);
		}
	}

	private void install(Snapshot snapshot) {
		this.state.log.installSnapshot(snapshot);
		adopt(snapshot);
	}

	/**
	 * Adopts a snapshot of the leader that was stored before the installation failed.
	 */
	void installStoredSnapshot() {
		if (this.state.log.snapshotIndex() > this.state.appliedIndex) {
			adopt(this.state.log.snapshot().orElseThrow());
		}
	}

	private void adopt(Snapshot snapshot) {
		MemberSet members = MemberSet.fromBytes(snapshot.members());
		this.state.history.resetTo(snapshot.index(), members);
		this.state.history.truncateFrom(this.state.log.lastIndex() + 1);
		this.state.commitIndex = snapshot.index();
		this.state.appliedIndex = snapshot.index();
		this.state.verifiedIndex = Math.max(this.state.verifiedIndex, snapshot.index());
		this.member.applier.restore(snapshot);
		this.member.proposals.endCoveredBySnapshot(snapshot.index());
		this.member.changes.updatePeers();
		this.state.stateChanged.signalAll();
	}

}
