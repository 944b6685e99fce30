package io.lavenderroad.control.raft;

import java.util.List;

import io.lavenderroad.control.log.EntryKind;
import io.lavenderroad.control.log.LogEntry;
import io.lavenderroad.control.log.StorageException;

/**
 * Advances the commit index: on the leader to the last entry of its term that a quorum
 * has synced, on a follower to the commit index of the leader, limited to entries known
 * to match the log of the leader. Guarded by the lock of {@link ControlMember}; callers
 * hold it.
 */
final class CommitProgress {

	private final MemberState state;

	private final ControlMember<?> member;

	CommitProgress(MemberState state, ControlMember<?> member) {
		this.state = state;
		this.member = member;
	}

	/**
	 * Appends an entry that the leader creates itself, such as a member set, and syncs
	 * it.
	 * @param kind kind of the entry
	 * @param payload payload of the entry
	 * @return false if the entry could not be written
	 */
	boolean appendLeaderEntry(EntryKind kind, byte[] payload) {
		LogEntry entry = new LogEntry(this.state.log.lastIndex() + 1, this.state.term, kind, payload);
		try {
			this.state.log.append(List.of(entry));
			this.state.log.sync();
		}
		catch (StorageException ex) {
			this.member.elections.handleStorageFailure(ex);
			return false;
		}
		this.member.changes.recordMemberSet(entry);
		this.member.changes.updatePeers();
		advanceCommit();
		this.state.stateChanged.signalAll();
		return true;
	}

	void advanceCommit() {
		if (this.state.role != MemberRole.LEADER || this.state.failure != null) {
			return;
		}
		long quorumIndex = this.state.history.latest().quorum().highestReachedByQuorum(this::durableIndex);
		if (quorumIndex > this.state.commitIndex && this.state.log.term(quorumIndex).orElse(0) == this.state.term) {
			this.state.commitIndex = quorumIndex;
			this.state.stateChanged.signalAll();
			this.member.proposals.completeConfirmations();
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

	void advanceFollowerCommit(long leaderCommit) {
		long index = Math.min(leaderCommit, this.state.verifiedIndex);
		if (index > this.state.commitIndex) {
			this.state.commitIndex = index;
			this.state.stateChanged.signalAll();
		}
	}

}
