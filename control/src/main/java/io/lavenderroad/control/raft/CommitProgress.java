package io.lavenderroad.control.raft;

import java.util.List;

import io.lavenderroad.control.log.EntryKind;
import io.lavenderroad.control.log.LogEntry;
import io.lavenderroad.control.log.StorageException;

/**
 * Advances the committed index: on a leader to what a quorum has synced in its term, on a
 * follower to what the leader reports and this member has verified. Guarded by the lock
 * of {@link ControlMember}; callers hold it.
 */
final class CommitProgress {

	private final MemberState state;

	private final ControlMember<?> member;

	CommitProgress(MemberState state, ControlMember<?> member) {
		this.state = state;
		this.member = member;
	}

	/**
	 * Appends an entry of the leader itself and syncs it.
	 * @param kind kind of the entry
	 * @param payload payload of the entry
	 * @return false if the disk refused it
	 */
	boolean appendOwn(EntryKind kind, byte[] payload) {
		LogEntry entry = new LogEntry(this.state.log.lastIndex() + 1, this.state.term, kind, payload);
		try {
			this.state.log.append(List.of(entry));
			this.state.log.sync();
		}
		catch (StorageException ex) {
			this.member.elections.storageFailed(ex);
			return false;
		}
		this.member.changes.rememberMembers(entry);
		this.member.changes.updatePeers();
		advanceCommit();
		this.state.changed.signalAll();
		return true;
	}

	void advanceCommit() {
		if (this.state.role != MemberRole.LEADER || this.state.failure != null) {
			return;
		}
		long agreed = this.state.history.latest().quorum().largestReached(this::durableIndex);
		if (agreed > this.state.commitIndex && this.state.log.term(agreed).orElse(0) == this.state.term) {
			this.state.commitIndex = agreed;
			this.state.changed.signalAll();
			this.member.proposals.checkRounds();
			this.member.changes.memberSetCommitted();
		}
	}

	private long durableIndex(String voter) {
		if (voter.equals(this.state.id)) {
			return this.state.log.syncedIndex();
		}
		PeerProgress peer = this.state.peers.get(voter);
		return (peer != null) ? peer.matchIndex : 0;
	}

	void followerCommit(long leaderCommit) {
		long index = Math.min(leaderCommit, this.state.verifiedIndex);
		if (index > this.state.commitIndex) {
			this.state.commitIndex = index;
			this.state.changed.signalAll();
		}
	}

}
