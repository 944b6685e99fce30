package io.lavenderroad.control.raft;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import io.lavenderroad.control.log.DurableLog;
import io.lavenderroad.control.log.EntryKind;
import io.lavenderroad.control.log.LogEntry;
import io.lavenderroad.control.log.Snapshot;
import io.lavenderroad.control.log.StorageException;
import io.lavenderroad.control.log.TermAndVote;
import io.lavenderroad.control.raft.ProposalOutcome.Accepted;
import io.lavenderroad.control.raft.ProposalOutcome.NotRun;
import io.lavenderroad.control.raft.ProposalOutcome.Unknown;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.WireOptions;
import org.tinylog.Logger;

/**
 * One member of the control group: a replicated log based on Raft (Ongaro and Ousterhout,
 * "In Search of an Understandable Consensus Algorithm", 2014; Ongaro, "Consensus:
 * Bridging Theory and Practice", 2014) with pre-vote, quorum check on the leader and
 * member changes of one voter at a time.
 * <p>
 * Entries are synced by the leader before they are sent. A proposal that fails on a full
 * disk has therefore reached no other member.
 * <p>
 * This class is the public entry point. Each part of the work is in a class of its own,
 * which uses the state and the locks of {@link MemberState}.
 * <p>
 * Locks, in the order in which they are taken: {@code applyLock} is owned by the thread
 * that uses the state machine, {@code lock} guards all other fields. Appends and votes of
 * a follower are synced under {@code lock}; the leader syncs proposals outside of it.
 * Time-outs are taken from the clock by {@link #tick()}, so that a test can drive every
 * step by hand; the tasks of {@link #start(WireOptions)} only wait and call the same
 * methods.
 *
 * @param <S> type of the state machine
 */
public final class ControlMember<S extends StateMachine> implements AutoCloseable {

	private static final long TICK_MILLIS = 20;

	// A full disk rarely has room again sooner; meanwhile another member should lead.
	private static final long DISK_RETRY_ELECTIONS = 10;

	private final RandomGenerator random;

	private final MemberState state;

	final Proposals proposals;

	final PeerReplication replication;

	final LogReceiver receiver;

	final EntryApplier applier;

	private final S stateMachine;

	private final ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor();

	private final ConnectionHandler handler = new Handler();

	private final Set<String> votes = new HashSet<>();

	private WireOptions wireOptions;

	private long leaderContactMillis;

	private long electionMillis;

	private long diskRetryMillis;

	private long transferDeadlineMillis;

	private long catchUpDeadlineMillis;

	private CompletableFuture<ProposalOutcome> changeOutcome;

	private String changeGivenUp;

	private ControlMember(Builder<S> builder) {
		String id = Objects.requireNonNull(builder.id, "id");
		this.random = Objects.requireNonNull(builder.random, "random");
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
		snapshot.ifPresent((value) -> this.stateMachine.restore(value.data()));
		for (long index = log.firstIndex(); index <= log.lastIndex(); index++) {
			rememberMembers(log.entry(index).orElseThrow());
		}
		this.state.locked(this::updatePeers);
		resetElectionTimeout();
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
			this.wireOptions = wire;
			this.state.running = true;
			resetElectionTimeout();
			this.state.peers.values().forEach(this::startPeerTask);
		}
		finally {
			this.state.lock.unlock();
		}
		this.tasks.execute(this::runTimer);
		this.tasks.execute(() -> runWhen(this.proposals::hasQueued, () -> stopOnError(this::flush)));
		this.tasks
			.execute(() -> runWhen(() -> this.state.failure == null && this.state.appliedIndex < this.state.commitIndex,
					this::applyCommitted));
	}

	/**
	 * Returns the receiver of messages of other members. It handles the messages of which
	 * {@link ControlMessages#contains(Object)} is true.
	 * @return the handler for a frame server
	 */
	public ConnectionHandler handler() {
		return this.handler;
	}

	/**
	 * Returns the state machine. It may change at any time.
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
	 * Adds a listener for changes of the leadership.
	 * @param listener the listener
	 */
	public void addLeadershipListener(LeadershipListener listener) {
		this.state.leadershipListeners.add(listener);
	}

	/**
	 * Proposes a command and waits for its outcome, at most for the proposal time-out.
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
		this.state.locked(() -> this.proposals
			.enqueue(new Proposal(command, this.state.now() + this.state.options.proposalTimeoutMillis(), outcome)));
		return outcome;
	}

	/**
	 * Proves by a quorum round that this member leads, and waits for it. A read that
	 * starts after this call and waits for {@link #awaitApplied(long, long)} sees
	 * everything that was accepted before the call.
	 * @return the committed index, or empty if leadership is not proven
	 */
	public OptionalLong confirmLeadership() {
		return await(requestConfirmation(), OptionalLong.empty(), OptionalLong.empty());
	}

	/**
	 * Starts a quorum round without waiting for it.
	 * @return completed with the committed index, or empty if leadership is not proven
	 */
	public CompletableFuture<OptionalLong> requestConfirmation() {
		CompletableFuture<OptionalLong> outcome = new CompletableFuture<>();
		this.state.locked(() -> this.proposals.beginRound(outcome));
		return outcome;
	}

	/**
	 * Waits until the state machine has applied an entry.
	 * @param index index of the entry
	 * @param timeoutMillis longest wait
	 * @return whether it was applied in time
	 */
	public boolean awaitApplied(long index, long timeoutMillis) {
		long nanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		this.state.lock.lock();
		try {
			while (this.state.appliedIndex < index && nanos > 0) {
				nanos = this.state.changed.awaitNanos(nanos);
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
	 * becomes a voter; only then is the replaced one removed. If the leader changes in
	 * between, the next one continues, and the outcome here is unknown.
	 * @param change the change
	 * @return completed when the change has ended; not run also if the added member did
	 * not catch up in time and was given up
	 */
	public CompletableFuture<ProposalOutcome> changeMembers(MemberChange change) {
		CompletableFuture<ProposalOutcome> outcome = new CompletableFuture<>();
		this.state.locked(() -> beginChange(change, outcome));
		return outcome;
	}

	/**
	 * Replaces a member by a new one, which becomes a voter before the old one is
	 * removed.
	 * @param oldId id of the member that leaves
	 * @param newId id of the new member
	 * @param address {@code ip:port} of the frame server of the new member
	 * @return completed when the change has ended
	 */
	public CompletableFuture<ProposalOutcome> replace(String oldId, String newId, String address) {
		return changeMembers(MemberChange.replace(oldId, newId, address));
	}

	/**
	 * Returns the state of this member.
	 * @return the state at one moment
	 */
	public MemberStatus status() {
		return this.state.locked(() -> {
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
	 * Hands the leadership to the voter that is nearest to the end of the log. New
	 * proposals are refused meanwhile. If the other one does not take over within an
	 * election time-out, this member goes on leading.
	 */
	public void transferLeadership() {
		this.state.locked(this::beginTransfer);
	}

	/**
	 * Hands the leadership over if this member leads, waits for proposals in the log, and
	 * stops.
	 * @param timeoutMillis longest wait
	 */
	public void shutdown(long timeoutMillis) {
		transferLeadership();
		long nanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		this.state.lock.lock();
		try {
			while (nanos > 0 && this.state.running
					&& (this.state.transferTarget != null || this.proposals.hasPending())) {
				nanos = Math.min(nanos, this.state.changed.awaitNanos(nanos));
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
	 * Stops at once. Proposals in the log end as unknown. The log stays open.
	 */
	@Override
	public void close() {
		this.state.locked(() -> {
			this.state.running = false;
			Logger.info("control: {} is stopping.", this.state.id);
			stopWith("member is stopping");
			this.state.changed.signalAll();
		});
		this.tasks.shutdown();
		try {
			this.tasks.awaitTermination(2 * this.state.options.electionTimeoutMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Acts on time-outs: starts elections, checks the quorum of a leader, ends proposals
	 * that waited too long and advances a member change.
	 */
	void tick() {
		this.state.locked(() -> {
			this.proposals.expireWaiting();
			if (this.state.failure != null) {
				return;
			}
			if (this.state.role == MemberRole.LEADER) {
				tickLeader();
			}
			else {
				tickFollower();
			}
		});
	}

	/**
	 * Appends the queued proposals as one batch and syncs once.
	 */
	void flush() {
		List<Proposal> batch = new ArrayList<>();
		if (!this.state.locked(() -> this.proposals.appendBatch(batch))) {
			return;
		}
		try {
			this.state.log.sync();
		}
		catch (StorageException ex) {
			this.state.locked(() -> stopWith(ex.getMessage()));
			return;
		}
		this.state.locked(() -> {
			advanceCommit();
			this.state.changed.signalAll();
		});
	}

	/**
	 * Applies the committed entries and writes a snapshot when one is due.
	 */
	void applyCommitted() {
		this.applier.applyAll();
	}

	VoteResponse handleVote(VoteRequest request) {
		return this.state.locked(() -> {
			boolean granted = grantVote(request);
			return new VoteResponse(this.state.term, granted);
		});
	}

	AppendResponse handleAppend(AppendRequest request) {
		return this.state.locked(() -> this.receiver.append(request));
	}

	SnapshotResponse handleSnapshot(SnapshotChunk chunk) {
		this.state.applyLock.lock();
		try {
			return this.state.locked(() -> this.receiver.receiveSnapshot(chunk));
		}
		finally {
			this.state.applyLock.unlock();
			this.state.events.run();
		}
	}

	void handleCommitNotice(CommitNotice notice) {
		this.state.locked(() -> {
			if (notice.term() == this.state.term && this.state.role == MemberRole.FOLLOWER) {
				followerCommit(notice.commitIndex());
			}
		});
	}

	void handleTimeoutNow(TimeoutNow request) {
		this.state.locked(() -> {
			if (request.term() == this.state.term && this.state.failure == null
					&& this.state.history.latest().isVoter(this.state.id)) {
				startElection(true);
			}
		});
	}

	/**
	 * Returns what a peer should be sent now.
	 * @param peerId id of the peer
	 * @return the message, or empty
	 */
	Optional<PeerMessage> nextMessage(String peerId) {
		return this.state.locked(() -> this.replication.nextMessageFor(peerId));
	}

	/**
	 * Waits for something to send.
	 * @param peer the peer
	 * @return the message, or empty if the task of the peer should end
	 */
	Optional<PeerMessage> awaitMessage(PeerProgress peer) {
		return this.replication.awaitMessageFor(peer);
	}

	/**
	 * Handles the answer of a peer.
	 * @param peerId id of the peer
	 * @param sent the message
	 * @param response the answer
	 */
	void answered(String peerId, PeerMessage sent, Object response) {
		this.state.locked(() -> this.replication.messageAnswered(peerId, sent, response));
	}

	/**
	 * Handles a message that got no answer.
	 * @param peerId id of the peer
	 * @param sent the message
	 */
	void failed(String peerId, PeerMessage sent) {
		this.state.locked(() -> this.replication.messageFailed(peerId, sent));
	}

	// Elections

	private boolean grantVote(VoteRequest request) {
		if (this.state.failure != null || hearsLeader() && !request.transfer()) {
			return false;
		}
		boolean upToDate = request.lastTerm() > this.state.lastTerm()
				|| request.lastTerm() == this.state.lastTerm() && request.lastIndex() >= this.state.log.lastIndex();
		if (request.preVote()) {
			return request.term() > this.state.term && upToDate;
		}
		if (request.term() < this.state.term || request.term() > this.state.term && !follow(request.term(), null)) {
			return false;
		}
		Optional<String> votedFor = this.state.log.termAndVote().votedFor();
		if (!upToDate || this.state.role != MemberRole.FOLLOWER
				|| votedFor.isPresent() && !votedFor.get().equals(request.candidateId())) {
			return false;
		}
		if (!save(new TermAndVote(this.state.term, Optional.of(request.candidateId())))) {
			return false;
		}
		resetElectionTimeout();
		return true;
	}

	private boolean hearsLeader() {
		return this.state.role == MemberRole.LEADER || this.state.leaderId != null
				&& this.state.now() - this.leaderContactMillis < this.state.options.electionTimeoutMillis();
	}

	private void startPreVote() {
		this.state.role = MemberRole.PRE_CANDIDATE;
		this.state.leaderId = null;
		resetElectionTimeout();
		this.state.publishLeadership();
		askForVotes(new VoteRequest(this.state.term + 1, this.state.id, this.state.log.lastIndex(),
				this.state.lastTerm(), true, false));
		if (hasVotes()) {
			startElection(false);
		}
	}

	private void startElection(boolean transfer) {
		if (!save(new TermAndVote(this.state.term + 1, Optional.of(this.state.id)))) {
			this.state.role = MemberRole.FOLLOWER;
			return;
		}
		this.state.term++;
		this.state.role = MemberRole.CANDIDATE;
		this.state.leaderId = null;
		this.state.verifiedIndex = 0;
		resetElectionTimeout();
		this.state.publishLeadership();
		askForVotes(new VoteRequest(this.state.term, this.state.id, this.state.log.lastIndex(), this.state.lastTerm(),
				false, transfer));
		if (hasVotes()) {
			lead();
		}
	}

	private void askForVotes(VoteRequest request) {
		this.votes.clear();
		this.votes.add(this.state.id);
		for (PeerProgress peer : this.state.peers.values()) {
			peer.vote = this.state.history.latest().isVoter(peer.member.id()) ? request : null;
			peer.retryMillis = 0;
		}
		this.state.changed.signalAll();
	}

	private boolean hasVotes() {
		return this.state.history.latest().quorum().isSatisfiedBy(this.votes::contains);
	}

	void voteAnswered(String peerId, VoteRequest request, VoteResponse response) {
		if (response.term() > this.state.term) {
			follow(response.term(), null);
			return;
		}
		boolean current = request.preVote()
				? this.state.role == MemberRole.PRE_CANDIDATE && request.term() == this.state.term + 1
				: this.state.role == MemberRole.CANDIDATE && request.term() == this.state.term;
		if (!current || !response.granted()) {
			return;
		}
		this.votes.add(peerId);
		if (hasVotes()) {
			if (request.preVote()) {
				startElection(false);
			}
			else {
				lead();
			}
		}
	}

	private void lead() {
		this.state.role = MemberRole.LEADER;
		this.state.leaderId = this.state.id;
		this.state.transferTarget = null;
		this.state.termStartIndex = this.state.log.lastIndex() + 1;
		restartCatchUp();
		this.state.peers.values().forEach((peer) -> peer.startLeading(this.state.termStartIndex, this.state.now()));
		Logger.info("control: {} leads term {}.", this.state.id, this.state.term);
		// The first leader stores the member set of the settings, so that a member that
		// is
		// added later receives it.
		boolean first = this.state.history.latestIndex() == 0;
		if (!appendOwn(first ? EntryKind.MEMBERS : EntryKind.NO_OP,
				first ? this.state.history.latest().toBytes() : MemberState.NOTHING)) {
			follow(this.state.term, null);
		}
		this.state.publishLeadership();
	}

	/**
	 * Becomes a follower.
	 * @param newTerm the current term or a newer one
	 * @param leader the leader of that term, or null if it is not known
	 * @return false if the newer term could not be saved; then it is not entered
	 */
	boolean follow(long newTerm, String leader) {
		boolean wasLeader = this.state.role == MemberRole.LEADER;
		this.state.role = MemberRole.FOLLOWER;
		this.state.leaderId = null;
		this.state.peers.values().forEach((peer) -> peer.vote = null);
		if (wasLeader) {
			stopLeading();
		}
		if (newTerm > this.state.term) {
			if (!save(new TermAndVote(newTerm, Optional.empty()))) {
				this.state.publishLeadership();
				return false;
			}
			this.state.term = newTerm;
			this.state.verifiedIndex = 0;
		}
		this.state.leaderId = leader;
		this.state.publishLeadership();
		return true;
	}

	private void stopLeading() {
		Logger.info("control: {} no longer leads term {}.", this.state.id, this.state.term);
		this.state.transferTarget = null;
		this.proposals.refuseQueued("this member is no longer the leader");
		this.proposals.endRounds();
		endChange(new Unknown("leadership was lost; the next leader continues or ends the change"));
		this.state.peers.values().removeIf((peer) -> peer.leaveMillis > 0);
		resetElectionTimeout();
		this.state.changed.signalAll();
	}

	private void tickLeader() {
		long oldest = this.state.now() - this.state.options.electionTimeoutMillis();
		if (!this.state.history.latest()
			.quorum()
			.isSatisfiedBy((voter) -> voter.equals(this.state.id) || this.state.answeredSince(voter, oldest))) {
			Logger.warn("control: {} steps down, as no quorum has answered for {} ms.", this.state.id,
					this.state.options.electionTimeoutMillis());
			follow(this.state.term, null);
			return;
		}
		if (this.state.transferTarget != null && this.state.now() >= this.transferDeadlineMillis) {
			Logger.warn("control: Member {} did not take the leadership over.", this.state.transferTarget);
			this.state.transferTarget = null;
			this.state.changed.signalAll();
		}
		if (this.state.peers.values().removeIf(this::hasLeft)) {
			this.state.changed.signalAll();
		}
		advanceChange();
	}

	private void tickFollower() {
		if (this.state.now() >= this.electionMillis && this.state.now() >= this.diskRetryMillis
				&& this.state.history.latest().isVoter(this.state.id)) {
			startPreVote();
		}
	}

	private boolean hasLeft(PeerProgress peer) {
		return peer.leaveMillis > 0 && (this.state.now() >= peer.leaveMillis
				|| !peer.inFlight && peer.matchIndex >= this.state.history.latestIndex()
						&& peer.commitSent >= this.state.history.latestIndex());
	}

	private void beginTransfer() {
		if (this.state.role != MemberRole.LEADER || this.state.transferTarget != null) {
			return;
		}
		long oldest = this.state.now() - this.state.options.electionTimeoutMillis();
		this.state.mostRecentVoter().filter((peer) -> peer.answeredMillis >= oldest).ifPresent((peer) -> {
			this.state.transferTarget = peer.member.id();
			this.state.transferSent = false;
			this.transferDeadlineMillis = this.state.now() + this.state.options.electionTimeoutMillis();
			this.proposals.refuseQueued("leadership is being handed over");
			this.state.changed.signalAll();
		});
	}

	// Proposals and commit

	/**
	 * Appends an entry of the leader itself and syncs it.
	 * @param kind kind of the entry
	 * @param payload payload of the entry
	 * @return false if the disk refused it
	 */
	private boolean appendOwn(EntryKind kind, byte[] payload) {
		LogEntry entry = new LogEntry(this.state.log.lastIndex() + 1, this.state.term, kind, payload);
		try {
			this.state.log.append(List.of(entry));
			this.state.log.sync();
		}
		catch (StorageException ex) {
			storageFailed(ex);
			return false;
		}
		rememberMembers(entry);
		updatePeers();
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
			this.proposals.checkRounds();
			memberSetCommitted();
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

	// Receiving from a leader

	boolean acceptLeader(long leaderTerm, String leader) {
		if (this.state.failure != null) {
			return false;
		}
		if (leaderTerm == this.state.term && this.state.role == MemberRole.LEADER) {
			throw new LavenderroadException(
					"members " + this.state.id + " and " + leader + " both lead term " + this.state.term);
		}
		boolean known = leaderTerm == this.state.term && this.state.role == MemberRole.FOLLOWER
				&& leader.equals(this.state.leaderId);
		if (!known && !follow(leaderTerm, leader)) {
			return false;
		}
		this.leaderContactMillis = this.state.now();
		resetElectionTimeout();
		return true;
	}

	// Member changes

	private void beginChange(MemberChange change, CompletableFuture<ProposalOutcome> outcome) {
		Optional<String> refusal = refusal(change);
		if (refusal.isPresent()) {
			this.state.refuse(outcome, refusal.get());
			return;
		}
		this.changeOutcome = outcome;
		this.changeGivenUp = null;
		restartCatchUp();
		if (!appendOwn(EntryKind.MEMBERS, this.state.history.latest().begin(change).toBytes())) {
			endChange(new NotRun("the disk refused the change", Optional.empty()));
		}
	}

	private void restartCatchUp() {
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
			appendOwn(EntryKind.MEMBERS, set.removeReplaced().toBytes());
			return;
		}
		PeerProgress peer = this.state.peers.get(added);
		if (peer != null && this.state.now() - peer.caughtUpMillis <= this.state.options.electionTimeoutMillis()) {
			appendOwn(EntryKind.MEMBERS, set.promoteAdded().toBytes());
		}
		else if (this.state.now() >= this.catchUpDeadlineMillis) {
			this.changeGivenUp = "member " + added + " did not catch up in time";
			appendOwn(EntryKind.MEMBERS, set.giveUpAdded().toBytes());
		}
	}

	private void memberSetCommitted() {
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
			follow(this.state.term, null);
		}
		else {
			advanceChange();
		}
	}

	private void endChange(ProposalOutcome outcome) {
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
		startPeerTask(peer);
	}

	// Common parts

	private void resetElectionTimeout() {
		this.electionMillis = this.state.now() + this.state.options.electionTimeoutMillis()
				+ this.random.nextLong(this.state.options.electionTimeoutMillis());
	}

	private boolean save(TermAndVote value) {
		try {
			this.state.log.saveTermAndVote(value);
			return true;
		}
		catch (StorageException ex) {
			storageFailed(ex);
			return false;
		}
	}

	void storageFailed(StorageException ex) {
		if (ex.isPermanent()) {
			stopWith(ex.getMessage());
			return;
		}
		Logger.warn("control: {} cannot write: {}.", this.state.id, ex.getMessage());
		this.diskRetryMillis = this.state.now() + DISK_RETRY_ELECTIONS * this.state.options.electionTimeoutMillis();
		beginTransfer();
	}

	/**
	 * Stops voting, acknowledging and proposing until the member is opened again.
	 * @param reason short sentence for operators
	 */
	void stopWith(String reason) {
		if (this.state.failure != null) {
			return;
		}
		if (this.state.running) {
			Logger.warn("control: {} stops voting and acknowledging: {}.", this.state.id, reason);
		}
		this.state.failure = reason;
		follow(this.state.term, null);
		this.proposals.refuseQueued("member has stopped: " + reason);
		this.proposals.endPending("member has stopped: " + reason);
		this.state.changed.signalAll();
	}

	private <T> T await(CompletableFuture<T> future, T late, T interrupted) {
		try {
			return future.get(2 * this.state.options.proposalTimeoutMillis(), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			return late;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return interrupted;
		}
		catch (ExecutionException ex) {
			throw new LavenderroadException("waiting for the group failed", ex.getCause());
		}
	}

	// Tasks

	private void startPeerTask(PeerProgress peer) {
		if (this.state.running) {
			this.tasks.execute(new PeerTask(this, peer, this.wireOptions, this.state.options.electionTimeoutMillis()));
		}
	}

	private void runTimer() {
		try {
			while (this.state.locked(() -> this.state.running)) {
				Thread.sleep(TICK_MILLIS);
				stopOnError(this::tick);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Runs a step of a task. After an unexpected error the member stops visibly, in place
	 * of going on without the task.
	 * @param step the step
	 */
	private void stopOnError(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "control: Unexpected error.");
			this.state.locked(() -> stopWith("unexpected error: " + ex));
		}
	}

	private void runWhen(BooleanSupplier due, Runnable action) {
		while (awaitDue(due)) {
			action.run();
		}
	}

	private boolean awaitDue(BooleanSupplier due) {
		this.state.lock.lock();
		try {
			while (this.state.running && !due.getAsBoolean()) {
				this.state.changed.await(MemberState.IDLE_MILLIS, TimeUnit.MILLISECONDS);
			}
			return this.state.running;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		finally {
			this.state.lock.unlock();
		}
	}

	private Object handle(Object request) {
		return switch (request) {
			case VoteRequest vote -> handleVote(vote);
			case AppendRequest append -> handleAppend(append);
			case SnapshotChunk chunk -> handleSnapshot(chunk);
			default ->
				throw new LavenderroadException("control member does not answer " + request.getClass().getSimpleName());
		};
	}

	private void handleOneWay(Object message) {
		switch (message) {
			case CommitNotice notice -> handleCommitNotice(notice);
			case TimeoutNow request -> handleTimeoutNow(request);
			default -> Logger.warn("control: Ignored a {} message.", message.getClass().getSimpleName());
		}
	}

	/**
	 * Hands messages to tasks of the member. The threads of a connection are interrupted
	 * when it closes, and an interrupt during a write would close the file of the log.
	 */
	private final class Handler implements ConnectionHandler {

		@Override
		public void received(Connection connection, Object message) {
			try {
				ControlMember.this.tasks.execute(() -> handleOneWay(message));
			}
			catch (RejectedExecutionException ex) {
				Logger.debug("control: Ignored a message while stopping.");
			}
		}

		@Override
		public Object answer(Connection connection, Object request) {
			try {
				return ControlMember.this.tasks.submit(() -> handle(request)).get();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new LavenderroadException("connection closed before the answer", ex);
			}
			catch (ExecutionException | RejectedExecutionException ex) {
				throw new LavenderroadException("request failed: " + ex.getMessage(), ex);
			}
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
		 * Sets the members that the group starts with. It counts only while the log holds
		 * no member set; a member that is to be added later starts with none.
		 * @param members the set, equal on all of them
		 * @return this builder
		 */
		public Builder<S> initialMembers(MemberSet members) {
			this.initialMembers = members;
			return this;
		}

		/**
		 * Sets time-outs and limits.
		 * @param options the options
		 * @return this builder
		 */
		public Builder<S> options(MemberOptions options) {
			this.options = options;
			return this;
		}

		/**
		 * Sets the clock for all time-outs.
		 * @param clock the clock
		 * @return this builder
		 */
		public Builder<S> clock(Clock clock) {
			this.clock = clock;
			return this;
		}

		/**
		 * Sets the source of randomness for election time-outs.
		 * @param random the source, used by this member only
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
