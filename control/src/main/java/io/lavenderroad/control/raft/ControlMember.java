package io.lavenderroad.control.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;

import io.lavenderroad.control.log.DurableLog;
import io.lavenderroad.control.log.Snapshot;
import io.lavenderroad.control.log.StorageException;
import io.lavenderroad.control.raft.ProposalOutcome.Unknown;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.WireOptions;
import org.tinylog.Logger;

/**
 * A member of the control group. Implements a replicated log based on Raft (Ongaro and
 * Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014; Ongaro,
 * "Consensus: Bridging Theory and Practice", 2014) with pre-vote, a check on the leader
 * that a quorum still responds, and membership changes of one voter at a time.
 * <p>
 * The leader syncs entries before it sends them. A proposal that fails because the disk
 * is full has therefore not reached any other member.
 * <p>
 * This class is the public entry point. It delegates to one class per responsibility;
 * these classes share the state and the locks of {@link MemberState}.
 * <p>
 * Locks, in the order of acquisition: {@code applyLock} is held by the thread that uses
 * the state machine, {@code lock} guards the other fields of these classes. Appends and
 * votes of a follower are synced under {@code lock}; the leader syncs proposals outside
 * of it. Timeouts are evaluated by {@link #tick()} against the configured clock, so that
 * a test can drive every step itself; the tasks of {@link #start(WireOptions)} only wait
 * and call the same methods.
 *
 * @param <S> type of the state machine
 */
public final class ControlMember<S extends StateMachine> implements AutoCloseable {

	private final MemberState state;

	final Proposals proposals;

	final PeerReplication replication;

	final LogReceiver receiver;

	final EntryApplier applier;

	final Elections elections;

	final MemberChanges changes;

	final CommitProgress commits;

	final StorageRecovery recovery;

	final MemberTasks tasks;

	private final S stateMachine;

	private ControlMember(Builder<S> builder) {
		String id = Objects.requireNonNull(builder.id, "id");
		RandomGenerator random = Objects.requireNonNull(builder.random, "random");
		DurableLog log = Objects.requireNonNull(builder.log, "log");
		this.stateMachine = Objects.requireNonNull(builder.stateMachine, "stateMachine");
		Optional<Snapshot> snapshot = log.snapshot();
		MemberHistory history = new MemberHistory(snapshot.map(Snapshot::index).orElse(0L),
				snapshot.map((value) -> MemberSet.fromBytes(value.members())).orElse(builder.initialMembers));
		this.state = new MemberState(id, builder.options, builder.clock, log, history);
		this.state.commitIndex = snapshot.map(Snapshot::index).orElse(0L);
		this.state.appliedIndex = this.state.commitIndex;
		this.proposals = new Proposals(this.state, this);
		this.replication = new PeerReplication(this.state, this);
		this.receiver = new LogReceiver(this.state, this);
		this.applier = new EntryApplier(this.state, this, builder.stateMachine);
		this.elections = new Elections(this.state, this, random);
		this.changes = new MemberChanges(this.state, this);
		this.commits = new CommitProgress(this.state, this);
		this.recovery = new StorageRecovery(this.state, this);
		this.tasks = new MemberTasks(this.state, this);
		snapshot.ifPresent((value) -> this.stateMachine.restore(value.data()));
		for (long index = log.firstIndex(); index <= log.lastIndex(); index++) {
			this.changes.recordMemberSet(log.entry(index).orElseThrow());
		}
		this.state.withLock(this.changes::updatePeers);
		this.elections.resetElectionTimeout();
	}

	/**
	 * Creates a builder.
	 * @param <S> type of the state machine
	 * @return the builder
	 */
	public static <S extends StateMachine> Builder<S> builder() {
		return new Builder<>();
	}

	/**
	 * Starts the tasks: timer, group commit, apply, and one task per peer.
	 * @param wire identity and limits for connections; its catalog contains
	 * {@link ControlMessages#types()}
	 */
	public void start(WireOptions wire) {
		this.state.lock.lock();
		try {
			this.tasks.wireOptions = wire;
			this.state.running = true;
			this.elections.resetElectionTimeout();
			this.state.peers.values().forEach(this.tasks::startPeerTask);
		}
		finally {
			this.state.lock.unlock();
		}
		this.tasks.startTasks();
	}

	/**
	 * Returns the handler for messages from other members. It accepts messages for which
	 * {@link ControlMessages#contains(Object)} returns true.
	 * @return the handler for a frame server
	 */
	public ConnectionHandler handler() {
		return this.tasks.handler;
	}

	/**
	 * Returns the state machine. The member may apply commands to it at any time.
	 * @return the state machine
	 */
	public S stateMachine() {
		return this.stateMachine;
	}

	/**
	 * Adds a listener for applied commands.
	 * @param listener the listener
	 */
	public void addApplyListener(ApplyListener listener) {
		this.applier.applyListeners.add(listener);
	}

	/**
	 * Adds a listener for leadership changes.
	 * @param listener the listener
	 */
	public void addLeadershipListener(LeadershipListener listener) {
		this.state.leadershipListeners.add(listener);
	}

	/**
	 * Proposes a command and waits for its outcome, at most for the proposal timeout.
	 * @param command the encoded command
	 * @return the outcome
	 */
	public ProposalOutcome propose(byte[] command) {
		return await(submit(command), new Unknown("no outcome in time"), new Unknown("interrupted while waiting"));
	}

	/**
	 * Proposes a command without waiting.
	 * @param command the encoded command
	 * @return completed with the outcome
	 */
	public CompletableFuture<ProposalOutcome> submit(byte[] command) {
		CompletableFuture<ProposalOutcome> outcome = new CompletableFuture<>();
		this.state.withLock(() -> this.proposals
			.enqueue(new Proposal(command, this.state.now() + this.state.options.proposalTimeoutMillis(), outcome)));
		return outcome;
	}

	/**
	 * Confirms through a round of messages to a quorum that this member is still the
	 * leader, and waits for the result. A read that starts after this call and first
	 * waits for {@link #awaitApplied(long, long)} reflects everything that was accepted
	 * before the call.
	 * @return the index to wait for, which is committed, or empty if leadership is not
	 * confirmed
	 */
	public OptionalLong confirmLeadership() {
		return await(requestConfirmation(), OptionalLong.empty(), OptionalLong.empty());
	}

	/**
	 * Starts a confirmation of leadership without waiting for the result.
	 * @return completed with the index to wait for, which is committed, or empty if
	 * leadership is not confirmed
	 */
	public CompletableFuture<OptionalLong> requestConfirmation() {
		CompletableFuture<OptionalLong> outcome = new CompletableFuture<>();
		this.state.withLock(() -> this.proposals.beginConfirmation(outcome));
		return outcome;
	}

	/**
	 * Waits until the state machine has applied an entry.
	 * @param index index of the entry
	 * @param timeoutMillis maximum wait in milliseconds
	 * @return whether it was applied in time
	 */
	public boolean awaitApplied(long index, long timeoutMillis) {
		long nanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		this.state.lock.lock();
		try {
			while (this.state.appliedIndex < index && nanos > 0) {
				nanos = this.state.stateChanged.awaitNanos(nanos);
			}
			return this.state.appliedIndex >= index;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		finally {
			this.state.lock.unlock();
		}
	}

	/**
	 * Changes the member set. An added member first joins as a learner, is caught up and
	 * becomes a voter; only then is the replaced member removed. If leadership changes in
	 * between, the next leader continues the change, and the outcome returned here is
	 * unknown.
	 * @param change the change
	 * @return completed when the change has ended; the outcome is also "not run" if the
	 * added member did not catch up in time and was removed again
	 */
	public CompletableFuture<ProposalOutcome> changeMembers(MemberChange change) {
		CompletableFuture<ProposalOutcome> outcome = new CompletableFuture<>();
		this.state.withLock(() -> this.changes.beginChange(change, outcome));
		return outcome;
	}

	/**
	 * Replaces a member. The new member becomes a voter before the old one is removed.
	 * @param oldId id of the member to remove
	 * @param newId id of the new member
	 * @param address {@code ip:port} of the frame server of the new member
	 * @return completed when the change has ended
	 */
	public CompletableFuture<ProposalOutcome> replace(String oldId, String newId, String address) {
		return changeMembers(MemberChange.replace(oldId, newId, address));
	}

	/**
	 * Returns the time since this member was last in contact with a quorum: 0 on the
	 * leader, on other members the time since the last message of a leader.
	 * @return milliseconds
	 */
	public long quorumContactAgeMillis() {
		return this.state.withLock(this.elections::quorumContactAgeMillis);
	}

	/**
	 * Returns the time since a quorum confirmed that this member is the leader.
	 * @return milliseconds; {@link Long#MAX_VALUE} if it is not the leader or transfers
	 * its leadership
	 */
	public long leaderQuorumAgeMillis() {
		return this.state.withLock(this.elections::leaderQuorumAgeMillis);
	}

	/**
	 * Returns the state of this member.
	 * @return a consistent snapshot of the state
	 */
	public MemberStatus status() {
		return this.state.withLock(() -> {
			Map<String, Long> matches = new TreeMap<>();
			if (this.state.role == MemberRole.LEADER) {
				this.state.peers.forEach((peer, progress) -> matches.put(peer, progress.matchIndex));
			}
			return new MemberStatus(this.state.id, this.state.role, this.state.term, this.state.leader(),
					this.state.commitIndex, this.state.appliedIndex, this.state.log.lastIndex(),
					this.state.log.snapshotIndex(), this.state.history.latest(), matches,
					Optional.ofNullable(this.state.failure));
		});
	}

	/**
	 * Transfers leadership to the voter with the highest match index. New proposals are
	 * refused in the meantime. If the target does not take over within an election
	 * timeout, this member remains leader.
	 */
	public void transferLeadership() {
		this.state.withLock(this.elections::beginTransfer);
	}

	/**
	 * Transfers leadership if this member is the leader, waits for the proposals in its
	 * log to end, and stops.
	 * @param timeoutMillis maximum wait in milliseconds
	 */
	public void shutdown(long timeoutMillis) {
		transferLeadership();
		long nanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		this.state.lock.lock();
		try {
			while (nanos > 0 && this.state.running
					&& (this.state.transferTarget != null || this.proposals.hasPending())) {
				nanos = Math.min(nanos, this.state.stateChanged.awaitNanos(nanos));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.state.lock.unlock();
		}
		close();
	}

	/**
	 * Stops immediately. Proposals in the log end as unknown. The log is not closed.
	 */
	@Override
	public void close() {
		this.state.withLock(() -> {
			this.state.running = false;
			Logger.info("control: {} is stopping.", this.state.id);
			stopWithFailure("member is stopping");
			this.state.stateChanged.signalAll();
		});
		this.tasks.stopTasks();
	}

	/**
	 * Handles timeouts: starts elections, makes a leader without a quorum step down, ends
	 * overdue proposals, advances a member change and recovers from a failed disk.
	 */
	void tick() {
		if (this.state.withLock(this.recovery::isDue)) {
			recoverStorage();
		}
		this.state.withLock(() -> {
			this.proposals.expireOverdue();
			if (this.state.failure != null) {
				return;
			}
			if (this.state.role == MemberRole.LEADER) {
				this.elections.tickLeader();
				this.changes.removeSurplusVoter();
			}
			else {
				this.elections.tickFollower();
			}
		});
	}

	/**
	 * Appends queued proposals as one batch and syncs once.
	 */
	void flush() {
		List<Proposal> batch = new ArrayList<>();
		if (!this.state.withLock(() -> this.proposals.appendBatch(batch))) {
			return;
		}
		try {
			this.state.log.sync();
		}
		catch (StorageException ex) {
			this.state.withLock(() -> this.recovery.stopUntilRepaired(ex));
			return;
		}
		this.state.withLock(() -> {
			this.commits.advanceCommit();
			this.state.stateChanged.signalAll();
		});
	}

	/**
	 * Applies committed entries and writes a snapshot if one is due.
	 */
	void applyCommitted() {
		this.applier.applyAll();
	}

	VoteResponse handleVote(VoteRequest request) {
		return this.state.withLock(() -> {
			boolean granted = this.elections.grantVote(request);
			return new VoteResponse(this.state.term, granted);
		});
	}

	AppendResponse handleAppend(AppendRequest request) {
		return this.state.withLock(() -> this.receiver.append(request));
	}

	SnapshotResponse handleSnapshot(SnapshotChunk chunk) {
		this.state.applyLock.lock();
		try {
			return this.state.withLock(() -> this.receiver.receiveSnapshot(chunk));
		}
		finally {
			this.state.applyLock.unlock();
			this.state.events.run();
		}
	}

	JoinResponse handleJoin(JoinRequest request) {
		return this.state.withLock(() -> this.changes.join(request));
	}

	LeaveResponse handleLeave(LeaveRequest request) {
		return this.state.withLock(() -> this.changes.leave(request));
	}

	/**
	 * Returns whether this member is a voter that the group may not need any more.
	 * @return true if the member should leave the group before its process ends
	 */
	boolean mayBeSurplus() {
		return this.state.withLock(this.changes::mayBeSurplus);
	}

	void handleCommitNotice(CommitNotice notice) {
		this.state.withLock(() -> {
			if (notice.term() == this.state.term && this.state.role == MemberRole.FOLLOWER) {
				this.commits.advanceFollowerCommit(notice.commitIndex());
			}
		});
	}

	void handleTimeoutNow(TimeoutNow request) {
		this.state.withLock(() -> {
			if (request.term() == this.state.term && this.state.failure == null
					&& this.state.history.latest().isVoter(this.state.id)) {
				this.elections.startElection(true);
			}
		});
	}

	/**
	 * Returns the next message for a peer.
	 * @param peerId id of the peer
	 * @return the message, or empty if there is nothing to send now
	 */
	Optional<PeerMessage> nextMessage(String peerId) {
		return this.state.withLock(() -> this.replication.nextMessageFor(peerId));
	}

	/**
	 * Waits for the next message for a peer.
	 * @param peer the peer
	 * @return the message, or empty if the task of the peer should end
	 */
	Optional<PeerMessage> awaitMessage(PeerProgress peer) {
		return this.replication.awaitMessageFor(peer);
	}

	/**
	 * Handles the response of a peer.
	 * @param peerId id of the peer
	 * @param sent the message that was sent
	 * @param response the response
	 */
	void responseReceived(String peerId, PeerMessage sent, Object response) {
		this.state.withLock(() -> this.replication.handleResponse(peerId, sent, response));
	}

	/**
	 * Handles a message that could not be sent or got no response.
	 * @param peerId id of the peer
	 * @param sent the message
	 */
	void sendFailed(String peerId, PeerMessage sent) {
		this.state.withLock(() -> this.replication.handleFailure(peerId, sent));
	}

	private void recoverStorage() {
		this.state.applyLock.lock();
		try {
			this.state.withLock(this.recovery::recover);
		}
		finally {
			this.state.applyLock.unlock();
			this.state.events.run();
		}
	}

	/**
	 * Stops voting, acknowledging and proposing until the member is restarted.
	 * @param reason short sentence for operators
	 */
	void stopWithFailure(String reason) {
		this.recovery.cancel();
		suspend(reason);
	}

	/**
	 * Stops voting, acknowledging and proposing until the failure is cleared.
	 * @param reason short sentence for operators
	 */
	void suspend(String reason) {
		if (this.state.failure != null) {
			return;
		}
		if (this.state.running) {
			Logger.warn("control: {} stops voting and acknowledging: {}.", this.state.id, reason);
		}
		this.state.failure = reason;
		this.elections.becomeFollower(this.state.term, null);
		this.proposals.refuseQueued("member has stopped: " + reason);
		this.proposals.endPendingAsUnknown("member has stopped: " + reason);
		this.state.stateChanged.signalAll();
	}

	private <T> T await(CompletableFuture<T> future, T timedOut, T interrupted) {
		try {
			return future.get(2 * this.state.options.proposalTimeoutMillis(), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			return timedOut;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return interrupted;
		}
		catch (ExecutionException ex) {
			throw new LavenderroadException("waiting for the group failed", ex.getCause());
		}
	}

	/**
	 * Builds a {@link ControlMember}.
	 *
	 * @param <S> type of the state machine
	 */
	public static final class Builder<S extends StateMachine> {

		private String id;

		private MemberSet initialMembers = MemberSet.empty();

		private MemberOptions options = MemberOptions.builder().build();

		private Clock clock = Clock.system();

		private RandomGenerator random;

		private DurableLog log;

		private S stateMachine;

		private Builder() {
		}

		/**
		 * Sets the id of the process.
		 * @param id the id
		 * @return this builder
		 */
		public Builder<S> id(String id) {
			this.id = id;
			return this;
		}

		/**
		 * Sets the initial members of the group. They are used only while the log
		 * contains no member set. A member that is to be added later starts with the
		 * empty set.
		 * @param members the member set, equal on all of these members
		 * @return this builder
		 */
		public Builder<S> initialMembers(MemberSet members) {
			this.initialMembers = members;
			return this;
		}

		/**
		 * Sets timeouts and limits.
		 * @param options the options
		 * @return this builder
		 */
		public Builder<S> options(MemberOptions options) {
			this.options = options;
			return this;
		}

		/**
		 * Sets the clock for all timeouts.
		 * @param clock the clock
		 * @return this builder
		 */
		public Builder<S> clock(Clock clock) {
			this.clock = clock;
			return this;
		}

		/**
		 * Sets the random generator for election timeouts.
		 * @param random the generator, used by this member only
		 * @return this builder
		 */
		public Builder<S> random(RandomGenerator random) {
			this.random = random;
			return this;
		}

		/**
		 * Sets the log.
		 * @param log the open log, used by this member only
		 * @return this builder
		 */
		public Builder<S> log(DurableLog log) {
			this.log = log;
			return this;
		}

		/**
		 * Sets the state machine.
		 * @param stateMachine the state machine in its initial state
		 * @return this builder
		 */
		public Builder<S> stateMachine(S stateMachine) {
			this.stateMachine = stateMachine;
			return this;
		}

		/**
		 * Creates the member from its log.
		 * @return the member, not started
		 */
		public ControlMember<S> build() {
			return new ControlMember<>(this);
		}

	}

}
