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
 * Stores what a leader sends: entries and snapshots. Entries are synced before they are
 * acknowledged, and a committed entry is never replaced. Guarded by the lock of
 * {@link ControlMember}; callers hold it, and for a snapshot the apply lock as well.
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
		OptionalLong lastPossible = mismatch(request);
		if (lastPossible.isPresent()) {
			return new AppendResponse(this.state.term, AppendResponse.Result.MISMATCH, lastPossible.getAsLong());
		}
		long last = request.previousIndex() + request.entries().size();
		try {
			store(request.entries(), last);
		}
		catch (StorageException ex) {
			this.member.elections.storageFailed(ex);
			return new AppendResponse(this.state.term, AppendResponse.Result.UNAVAILABLE, 0);
		}
		this.state.verifiedIndex = Math.max(this.state.verifiedIndex, last);
		this.member.commits.followerCommit(request.commitIndex());
		return new AppendResponse(this.state.term, AppendResponse.Result.SUCCESS, last);
	}

	private OptionalLong mismatch(AppendRequest request) {
		long previous = request.previousIndex();
		if (previous < this.state.log.firstIndex() - 1) {
			// The snapshot contains only committed entries, which equal those of the
			// leader.
			return OptionalLong.empty();
		}
		OptionalLong known = this.state.log.term(previous);
		if (known.isEmpty()) {
			return OptionalLong.of(this.state.log.lastIndex());
		}
		if (known.getAsLong() == request.previousTerm()) {
			return OptionalLong.empty();
		}
		long index = previous;
		while (index > this.state.commitIndex && this.state.log.term(index).equals(known)) {
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
			missing.forEach(this.member.changes::rememberMembers);
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
			this.member.stopWith("leader sent another entry " + index + " than the committed one");
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
			this.member.elections.storageFailed(ex);
			return new SnapshotResponse(this.state.term, 0, false);
		}
	}

	private void install(Snapshot snapshot) {
		MemberSet members = MemberSet.fromBytes(snapshot.members());
		this.state.log.installSnapshot(snapshot);
		this.state.history.restartAt(snapshot.index(), members);
		this.state.history.truncateFrom(this.state.log.lastIndex() + 1);
		this.state.commitIndex = snapshot.index();
		this.state.appliedIndex = snapshot.index();
		this.state.verifiedIndex = Math.max(this.state.verifiedIndex, snapshot.index());
		this.member.applier.restore(snapshot);
		this.member.proposals.endReplaced(snapshot.index());
		this.member.changes.updatePeers();
		this.state.changed.signalAll();
	}

}
