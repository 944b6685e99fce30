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
import java.util.concurrent.CopyOnWriteArrayList;
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

	private final MemberState state;

	final Proposals proposals;

	// A full disk rarely has room again sooner; meanwhile another member should lead.
	private static final long DISK_RETRY_ELECTIONS = 10;

	private final RandomGenerator random;

	private final S stateMachine;

	private final List<ApplyListener> applyListeners = new CopyOnWriteArrayList<>();

	private final ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor();

	private final ConnectionHandler handler = new Handler();

	private final Set<String> votes = new HashSet<>();

	private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();

	private WireOptions wireOptions;

	private long leaderContactMillis;

	private long electionMillis;

	private long diskRetryMillis;

	private long transferDeadlineMillis;

	private long catchUpDeadlineMillis;

	private CompletableFuture<ProposalOutcome> changeOutcome;

	private String changeGivenUp;

	private long nextSnapshotIndex;

	private long bytesAfterSnapshot;

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
		this.nextSnapshotIndex = this.state.appliedIndex + this.state.options.snapshotEveryEntries();
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
		this.applyListeners.add(listener);
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
		applyAll();
	}

	VoteResponse handleVote(VoteRequest request) {
		return this.state.locked(() -> {
			boolean granted = grantVote(request);
			return new VoteResponse(this.state.term, granted);
		});
	}

	AppendResponse handleAppend(AppendRequest request) {
		return this.state.locked(() -> append(request));
	}

	SnapshotResponse handleSnapshot(SnapshotChunk chunk) {
		this.state.applyLock.lock();
		try {
			return this.state.locked(() -> receiveSnapshot(chunk));
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
		return this.state.locked(() -> nextMessageFor(peerId));
	}

	/**
	 * Waits for something to send.
	 * @param peer the peer
	 * @return the message, or empty if the task of the peer should end
	 */
	Optional<PeerMessage> awaitMessage(PeerProgress peer) {
		return awaitMessageFor(peer);
	}

	/**
	 * Handles the answer of a peer.
	 * @param peerId id of the peer
	 * @param sent the message
	 * @param response the answer
	 */
	void answered(String peerId, PeerMessage sent, Object response) {
		this.state.locked(() -> messageAnswered(peerId, sent, response));
	}

	/**
	 * Handles a message that got no answer.
	 * @param peerId id of the peer
	 * @param sent the message
	 */
	void failed(String peerId, PeerMessage sent) {
		this.state.locked(() -> messageFailed(peerId, sent));
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

	private void voteAnswered(String peerId, VoteRequest request, VoteResponse response) {
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
	private boolean follow(long newTerm, String leader) {
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

	private void advanceCommit() {
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

	private void followerCommit(long leaderCommit) {
		long index = Math.min(leaderCommit, this.state.verifiedIndex);
		if (index > this.state.commitIndex) {
			this.state.commitIndex = index;
			this.state.changed.signalAll();
		}
	}

	// Sending to peers

	private Optional<PeerMessage> nextMessageFor(String peerId) {
		return Optional.ofNullable(this.state.peers.get(peerId)).flatMap(this::messageFor);
	}

	private Optional<PeerMessage> awaitMessageFor(PeerProgress peer) {
		this.state.lock.lock();
		try {
			while (this.state.running && this.state.peers.get(peer.member.id()) == peer) {
				Optional<PeerMessage> message = messageFor(peer);
				if (message.isPresent()) {
					return message;
				}
				this.state.changed.await(millisUntilDue(peer), TimeUnit.MILLISECONDS);
			}
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
		finally {
			this.state.lock.unlock();
		}
	}

	private void messageAnswered(String peerId, PeerMessage sent, Object response) {
		PeerProgress peer = this.state.peers.get(peerId);
		if (peer == null) {
			return;
		}
		peer.inFlight = false;
		if (sent.message() instanceof VoteRequest request && response instanceof VoteResponse vote) {
			voteAnswered(peerId, request, vote);
		}
		else if (sent.message() instanceof AppendRequest request && response instanceof AppendResponse answer) {
			appendAnswered(peer, sent, request, answer);
		}
		else if (sent.message() instanceof SnapshotChunk chunk && response instanceof SnapshotResponse answer) {
			snapshotAnswered(peer, sent, chunk, answer);
		}
		this.state.changed.signalAll();
	}

	private void messageFailed(String peerId, PeerMessage sent) {
		PeerProgress peer = this.state.peers.get(peerId);
		if (peer == null) {
			return;
		}
		peer.inFlight = false;
		peer.retryMillis = this.state.now() + this.state.options.heartbeatMillis();
		peer.roundSent = peer.roundAnswered;
		if (sent.message() instanceof VoteRequest request && request.term() >= this.state.term
				&& this.state.role != MemberRole.LEADER && this.state.role != MemberRole.FOLLOWER) {
			peer.vote = request;
		}
	}

	private Optional<PeerMessage> messageFor(PeerProgress peer) {
		if (peer.inFlight || this.state.failure != null) {
			return Optional.empty();
		}
		if (peer.handover != null) {
			TimeoutNow handover = peer.handover;
			peer.handover = null;
			return Optional.of(message(handover, false));
		}
		if (peer.vote != null && this.state.now() >= peer.retryMillis) {
			VoteRequest vote = peer.vote;
			peer.vote = null;
			return Optional.of(call(peer, vote));
		}
		if (this.state.role == MemberRole.LEADER) {
			return leaderMessageFor(peer);
		}
		return Optional.empty();
	}

	private Optional<PeerMessage> leaderMessageFor(PeerProgress peer) {
		if (peer.member.id().equals(this.state.transferTarget) && !this.state.transferSent
				&& peer.matchIndex == this.state.log.lastIndex()) {
			this.state.transferSent = true;
			return Optional.of(message(new TimeoutNow(this.state.term, this.state.id), false));
		}
		if (this.state.now() < peer.retryMillis) {
			return Optional.empty();
		}
		if (peer.nextIndex < this.state.log.firstIndex() || peer.snapshot != null) {
			return snapshotMessageFor(peer);
		}
		boolean entries = peer.nextIndex <= this.state.log.syncedIndex();
		boolean due = this.state.now() - peer.sentMillis >= this.state.options.heartbeatMillis()
				|| peer.roundSent < this.state.round;
		if (entries || due) {
			return Optional.of(call(peer, appendRequest(peer)));
		}
		if (peer.commitSent < this.state.commitIndex) {
			peer.commitSent = this.state.commitIndex;
			return Optional
				.of(message(new CommitNotice(this.state.term, this.state.id, this.state.commitIndex), false));
		}
		return Optional.empty();
	}

	private Optional<PeerMessage> snapshotMessageFor(PeerProgress peer) {
		if (peer.snapshot == null && !loadSnapshot(peer)) {
			return Optional.empty();
		}
		Snapshot snapshot = peer.snapshot;
		int length = Math.min(this.state.options.snapshotChunkBytes(), snapshot.data().length - peer.snapshotOffset);
		byte[] bytes = new byte[length];
		System.arraycopy(snapshot.data(), peer.snapshotOffset, bytes, 0, length);
		return Optional
			.of(call(peer, new SnapshotChunk(this.state.term, this.state.id, snapshot.index(), snapshot.term(),
					snapshot.members(), snapshot.data().length, peer.snapshotChecksum, peer.snapshotOffset, bytes)));
	}

	private boolean loadSnapshot(PeerProgress peer) {
		try {
			peer.snapshot = this.state.log.snapshot().orElse(null);
		}
		catch (LavenderroadException ex) {
			stopWith(ex.getMessage());
		}
		if (peer.snapshot == null) {
			return false;
		}
		peer.snapshotOffset = 0;
		peer.snapshotChecksum = SnapshotReceiver.checksum(peer.snapshot.data());
		return true;
	}

	private AppendRequest appendRequest(PeerProgress peer) {
		long previous = peer.nextIndex - 1;
		return new AppendRequest(this.state.term, this.state.id, previous, this.state.log.term(previous).orElseThrow(),
				this.state.commitIndex,
				this.state.log.entries(peer.nextIndex, this.state.log.syncedIndex(), this.state.options.batchBytes()));
	}

	private PeerMessage call(PeerProgress peer, Object message) {
		peer.inFlight = true;
		peer.sentMillis = this.state.now();
		peer.roundSent = this.state.round;
		if (message instanceof AppendRequest) {
			peer.commitSent = Math.max(peer.commitSent, this.state.commitIndex);
		}
		return message(message, true);
	}

	private PeerMessage message(Object message, boolean call) {
		return new PeerMessage(message, call, this.state.now(), this.state.round, this.state.commitIndex);
	}

	private long millisUntilDue(PeerProgress peer) {
		if (this.state.role != MemberRole.LEADER || peer.inFlight) {
			return MemberState.IDLE_MILLIS;
		}
		long due = Math.max(peer.sentMillis + this.state.options.heartbeatMillis(), peer.retryMillis);
		return Math.clamp(due - this.state.now(), 1, MemberState.IDLE_MILLIS);
	}

	private void appendAnswered(PeerProgress peer, PeerMessage sent, AppendRequest request, AppendResponse answer) {
		if (!isAnswerToLeader(request.term(), answer.term())) {
			return;
		}
		if (answer.result() == AppendResponse.Result.UNAVAILABLE) {
			peer.retryMillis = this.state.now() + this.state.options.heartbeatMillis();
			return;
		}
		peer.answeredMillis = Math.max(peer.answeredMillis, sent.sentMillis());
		peer.roundAnswered = Math.max(peer.roundAnswered, sent.round());
		if (answer.result() == AppendResponse.Result.SUCCESS) {
			peer.matched(Math.min(answer.index(), request.previousIndex() + request.entries().size()));
			if (peer.matchIndex >= sent.commitIndex()) {
				peer.caughtUpMillis = this.state.now();
			}
		}
		else if (answer.result() == AppendResponse.Result.MISMATCH && request.previousIndex() == peer.nextIndex - 1) {
			peer.mismatched(answer.index());
		}
		progressMade();
	}

	private void snapshotAnswered(PeerProgress peer, PeerMessage sent, SnapshotChunk chunk, SnapshotResponse answer) {
		if (!isAnswerToLeader(chunk.term(), answer.term())) {
			return;
		}
		peer.answeredMillis = Math.max(peer.answeredMillis, sent.sentMillis());
		peer.roundAnswered = Math.max(peer.roundAnswered, sent.round());
		if (peer.snapshot == null || peer.snapshot.index() != chunk.snapshotIndex()) {
			return;
		}
		if (answer.installed()) {
			peer.matched(chunk.snapshotIndex());
			peer.snapshot = null;
		}
		else {
			if (answer.nextOffset() <= chunk.offset()) {
				peer.retryMillis = this.state.now() + this.state.options.heartbeatMillis();
			}
			peer.snapshotOffset = Math.clamp(answer.nextOffset(), 0, chunk.totalBytes());
		}
		progressMade();
	}

	private boolean isAnswerToLeader(long requestTerm, long answerTerm) {
		if (answerTerm > this.state.term) {
			follow(answerTerm, null);
			return false;
		}
		return this.state.role == MemberRole.LEADER && requestTerm == this.state.term;
	}

	private void progressMade() {
		this.proposals.checkRounds();
		advanceCommit();
		if (this.state.role == MemberRole.LEADER) {
			advanceChange();
		}
	}

	// Receiving from a leader

	private AppendResponse append(AppendRequest request) {
		if (request.term() < this.state.term) {
			return new AppendResponse(this.state.term, AppendResponse.Result.OLD_TERM, 0);
		}
		if (!acceptLeader(request.term(), request.leaderId())) {
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
			storageFailed(ex);
			return new AppendResponse(this.state.term, AppendResponse.Result.UNAVAILABLE, 0);
		}
		this.state.verifiedIndex = Math.max(this.state.verifiedIndex, last);
		followerCommit(request.commitIndex());
		return new AppendResponse(this.state.term, AppendResponse.Result.SUCCESS, last);
	}

	private boolean acceptLeader(long leaderTerm, String leader) {
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
			missing.forEach(this::rememberMembers);
		}
		if (this.state.log.syncedIndex() < last) {
			this.state.log.sync();
		}
		if (missing.stream().anyMatch((entry) -> entry.kind() == EntryKind.MEMBERS)) {
			updatePeers();
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
			stopWith("leader sent another entry " + index + " than the committed one");
			throw new LavenderroadException(this.state.failure);
		}
		this.state.log.truncateFrom(index);
		this.state.history.truncateFrom(index);
		updatePeers();
	}

	private SnapshotResponse receiveSnapshot(SnapshotChunk chunk) {
		if (chunk.term() < this.state.term || !acceptLeader(chunk.term(), chunk.leaderId())) {
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
			storageFailed(ex);
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
		restore(snapshot);
		this.proposals.endReplaced(snapshot.index());
		updatePeers();
		this.state.changed.signalAll();
	}

	// Applying

	private void withStateMachine(Runnable action) {
		this.state.applyLock.lock();
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "control: Using the state machine failed.");
			this.state.locked(() -> stopWith("using the state machine failed: " + ex));
		}
		finally {
			this.state.applyLock.unlock();
			this.state.events.run();
		}
	}

	private void applyAll() {
		withStateMachine(() -> {
			Optional<LogEntry> next = this.state.locked(this::nextToApply);
			while (next.isPresent()) {
				apply(next.get());
				next = this.state.locked(this::nextToApply);
			}
		});
		withStateMachine(this::writeSnapshotIfDue);
	}

	/**
	 * Replaces the state by a snapshot that was installed in the log. The caller holds
	 * both locks.
	 * @param snapshot the snapshot
	 */
	private void restore(Snapshot snapshot) {
		this.nextSnapshotIndex = this.state.appliedIndex + this.state.options.snapshotEveryEntries();
		this.stateMachine.restore(snapshot.data());
	}

	private Optional<LogEntry> nextToApply() {
		if (this.state.failure != null || this.state.appliedIndex >= this.state.commitIndex) {
			return Optional.empty();
		}
		Optional<LogEntry> entry = this.state.log.entry(this.state.appliedIndex + 1);
		if (entry.isEmpty()) {
			stopWith("committed entry " + (this.state.appliedIndex + 1) + " is missing in the log");
		}
		return entry;
	}

	private void apply(LogEntry entry) {
		boolean command = entry.kind() == EntryKind.COMMAND;
		byte[] result = command ? this.stateMachine.apply(entry.index(), entry.payload()) : MemberState.NOTHING;
		this.state.locked(() -> {
			this.state.appliedIndex = entry.index();
			this.proposals.applied(entry, result);
			this.state.publishLeadership();
			this.state.changed.signalAll();
		});
		if (command) {
			this.applyListeners.forEach((listener) -> listener.applied(entry.index(), entry.payload(), result));
		}
	}

	private void writeSnapshotIfDue() {
		long applied = this.state.appliedIndex;
		boolean due = applied >= this.nextSnapshotIndex
				|| this.state.log.bytes() - this.bytesAfterSnapshot >= this.state.options.snapshotEveryBytes();
		if (!due || applied <= this.state.log.snapshotIndex() || this.state.locked(() -> this.state.failure != null)) {
			return;
		}
		byte[] members = this.state.locked(() -> this.state.history.at(applied).toBytes());
		try {
			this.state.log.saveSnapshot(new Snapshot(applied, this.state.log.term(applied).orElseThrow(), members,
					this.stateMachine.snapshot()));
			// Under the lock, so that a message to a peer never refers to a forgotten
			// entry.
			this.state.locked(() -> this.state.log.compact(lastToForget(applied)));
		}
		catch (StorageException ex) {
			this.state.locked(() -> storageFailed(ex));
		}
		this.nextSnapshotIndex = applied + this.state.options.snapshotEveryEntries();
		this.bytesAfterSnapshot = this.state.log.bytes();
		this.state.locked(() -> this.state.history.compact(this.state.log.snapshotIndex()));
	}

	private long lastToForget(long applied) {
		long bytes = 0;
		long index = applied;
		while (index > applied - this.state.options.keptEntries() && index >= this.state.log.firstIndex()) {
			bytes += this.state.log.entry(index).orElseThrow().payload().length;
			if (bytes > this.state.options.snapshotEveryBytes() / 2) {
				break;
			}
			index--;
		}
		return index;
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
	private void advanceChange() {
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

	private void rememberMembers(LogEntry entry) {
		if (entry.kind() == EntryKind.MEMBERS) {
			this.state.history.add(entry.index(), MemberSet.fromBytes(entry.payload()));
		}
	}

	private void updatePeers() {
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
	private void stopWith(String reason) {
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
