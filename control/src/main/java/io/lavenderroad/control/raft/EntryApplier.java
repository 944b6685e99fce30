package io.lavenderroad.control.raft;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import io.lavenderroad.control.log.EntryKind;
import io.lavenderroad.control.log.LogEntry;
import io.lavenderroad.control.log.Snapshot;
import io.lavenderroad.control.log.StorageException;
import org.tinylog.Logger;

/**
 * Applies committed entries to the state machine in log order, writes snapshots and
 * compacts the log. The thread that uses the state machine holds {@code applyLock} of
 * {@link MemberState}, which also guards the fields of this class. {@code lock} is
 * acquired while {@code applyLock} is held to access the shared state. It is not held
 * while an entry is applied or a snapshot is written, only while a snapshot of the leader
 * replaces the state.
 */
final class EntryApplier {

	private final MemberState state;

	private final ControlMember<?> member;

	private final StateMachine stateMachine;

	final List<ApplyListener> applyListeners = new CopyOnWriteArrayList<>();

	private long nextSnapshotIndex;

	private long logBytesAfterSnapshot;

	EntryApplier(MemberState state, ControlMember<?> member, StateMachine stateMachine) {
		this.state = state;
		this.member = member;
		this.stateMachine = stateMachine;
		this.nextSnapshotIndex = state.appliedIndex + state.options.snapshotEveryEntries();
	}

	private void withStateMachine(Runnable action) {
		this.state.applyLock.lock();
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "control: Using the state machine failed.");
			this.state.withLock(() -> this.member.stopWithFailure("using the state machine failed: " + ex));
		}
		finally {
			this.state.applyLock.unlock();
			this.state.events.run();
		}
	}

	void applyAll() {
		withStateMachine(() -> {
			Optional<LogEntry> next = this.state.withLock(this::nextEntryToApply);
			while (next.isPresent()) {
				apply(next.get());
				next = this.state.withLock(this::nextEntryToApply);
			}
		});
		withStateMachine(this::writeSnapshotIfDue);
	}

	/**
	 * Replaces the state by a snapshot that has been installed in the log. Callers hold
	 * both locks.
	 * @param snapshot the snapshot
	 */
	void restore(Snapshot snapshot) {
		this.nextSnapshotIndex = this.state.appliedIndex + this.state.options.snapshotEveryEntries();
		this.stateMachine.restore(snapshot.data());
	}

	private Optional<LogEntry> nextEntryToApply() {
		if (this.state.failure != null || this.state.appliedIndex >= this.state.commitIndex) {
			return Optional.empty();
		}
		Optional<LogEntry> entry = this.state.log.entry(this.state.appliedIndex + 1);
		if (entry.isEmpty()) {
			this.member.stopWithFailure("committed entry " + (this.state.appliedIndex + 1) + " is missing in the log");
		}
		return entry;
	}

	private void apply(LogEntry entry) {
		boolean command = entry.kind() == EntryKind.COMMAND;
		byte[] result = command ? this.stateMachine.apply(entry.index(), entry.payload()) : MemberState.EMPTY_BYTES;
		this.state.withLock(() -> {
			this.state.appliedIndex = entry.index();
			this.member.proposals.entryApplied(entry, result);
			this.state.publishLeadership();
			this.state.stateChanged.signalAll();
		});
		if (command) {
			this.applyListeners.forEach((listener) -> listener.applied(entry.index(), entry.payload(), result));
		}
	}

	private void writeSnapshotIfDue() {
		long applied = this.state.appliedIndex;
		boolean due = applied >= this.nextSnapshotIndex
				|| this.state.log.bytes() - this.logBytesAfterSnapshot >= this.state.options.snapshotEveryBytes();
		if (!due || applied <= this.state.log.snapshotIndex()
				|| this.state.withLock(() -> this.state.failure != null)) {
			return;
		}
		byte[] members = this.state.withLock(() -> this.state.history.at(applied).toBytes());
		try {
			this.state.log.saveSnapshot(new Snapshot(applied, this.state.log.term(applied).orElseThrow(), members,
					this.stateMachine.snapshot()));
			// Compacts under the lock, so that a message to a peer never refers to a
			// compacted entry.
			this.state.withLock(() -> this.state.log.compact(compactionIndex(applied)));
		}
		catch (StorageException ex) {
			this.state.withLock(() -> this.member.elections.handleStorageFailure(ex));
		}
		this.nextSnapshotIndex = applied + this.state.options.snapshotEveryEntries();
		this.logBytesAfterSnapshot = this.state.log.bytes();
		this.state.withLock(() -> this.state.history.compact(this.state.log.snapshotIndex()));
	}

	private long compactionIndex(long applied) {
		long bytes = 0;
		long index = applied;
		while (index > applied - this.state.options.retainedEntries() && index >= this.state.log.firstIndex()) {
			bytes += this.state.log.entry(index).orElseThrow().payload().length;
			if (bytes > this.state.options.snapshotEveryBytes() / 2) {
				break;
			}
			index--;
		}
		return index;
	}

}
