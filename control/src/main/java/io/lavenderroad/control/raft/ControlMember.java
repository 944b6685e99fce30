package io.lavenderroad.control.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
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
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
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

	private static final long IDLE_MILLIS = 200;

	// A full disk rarely has room again sooner; meanwhile another member should lead.
	private static final long DISK_RETRY_ELECTIONS = 10;

	private static final long MOST_QUEUED_BYTES = 64L * 1024 * 1024;

	private static final byte[] NOTHING = new byte[0];

	private final String id;

	private final MemberOptions options;

	private final Clock clock;

	private final RandomGenerator random;

	private final DurableLog log;

	private final S stateMachine;

	private final List<ApplyListener> applyListeners = new CopyOnWriteArrayList<>();

	private final List<LeadershipListener> leadershipListeners = new CopyOnWriteArrayList<>();

	private final EventQueue events = new EventQueue();

	private final ReentrantLock applyLock = new ReentrantLock();

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor();

	private final ConnectionHandler handler = new Handler();

	private final MemberHistory history;

	private final Map<String, PeerProgress> peers = new TreeMap<>();

	private final Queue<Proposal> queue = new ArrayDeque<>();

	private final Map<Long, List<Proposal.Appended>> pending = new TreeMap<>();

	private final List<LeadershipRound> rounds = new ArrayList<>();

	private final Set<String> votes = new HashSet<>();

	private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();

	private WireOptions wireOptions;

	private boolean running;

	private String failure;

	private MemberRole role = MemberRole.FOLLOWER;

	private long term;

	private String leaderId;

	private long leaderContactMillis;

	private long electionMillis;

	private long diskRetryMillis;

	private long commitIndex;

	private long appliedIndex;

	/**
	 * Last entry that is known to equal that of the leader of this term.
	 */
	private long verifiedIndex;

	private long termStartIndex;

	private long queuedBytes;

	private long round;

	private String transferTarget;

	private boolean transferSent;

	private long transferDeadlineMillis;

	private long catchUpDeadlineMillis;

	private CompletableFuture<ProposalOutcome> changeOutcome;

	private String changeGivenUp;

	private long nextSnapshotIndex;

	private long bytesAfterSnapshot;

	private Leadership published;

	private ControlMember(Builder<S> builder) {
		this.id = Objects.requireNonNull(builder.id, "id");
		this.options = builder.options;
		this.clock = builder.clock;
		this.random = Objects.requireNonNull(builder.random, "random");
		this.log = Objects.requireNonNull(builder.log, "log");
		this.stateMachine = Objects.requireNonNull(builder.stateMachine, "stateMachine");
		this.term = this.log.termAndVote().term();
		Optional<Snapshot> snapshot = this.log.snapshot();
		this.history = new MemberHistory(snapshot.map(Snapshot::index).orElse(0L),
				snapshot.map((value) -> MemberSet.fromBytes(value.members())).orElse(builder.initialMembers));
		snapshot.ifPresent((value) -> this.stateMachine.restore(value.data()));
		this.commitIndex = snapshot.map(Snapshot::index).orElse(0L);
		this.appliedIndex = this.commitIndex;
		this.nextSnapshotIndex = this.appliedIndex + this.options.snapshotEveryEntries();
		for (long index = this.log.firstIndex(); index <= this.log.lastIndex(); index++) {
			rememberMembers(this.log.entry(index).orElseThrow());
		}
		this.published = new Leadership(this.term, Optional.empty(), false, false);
		locked(this::updatePeers);
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
		this.lock.lock();
		try {
			this.wireOptions = wire;
			this.running = true;
			resetElectionTimeout();
			this.peers.values().forEach(this::startPeerTask);
		}
		finally {
			this.lock.unlock();
		}
		this.tasks.execute(this::runTimer);
		this.tasks.execute(() -> runWhen(() -> !this.queue.isEmpty(), () -> stopOnError(this::flush)));
		this.tasks.execute(() -> runWhen(() -> this.failure == null && this.appliedIndex < this.commitIndex,
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
		this.leadershipListeners.add(listener);
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
		locked(() -> enqueue(new Proposal(command, now() + this.options.proposalTimeoutMillis(), outcome)));
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
		locked(() -> {
			if (this.role != MemberRole.LEADER) {
				complete(outcome, OptionalLong.empty());
				return;
			}
			this.round++;
			this.rounds.add(new LeadershipRound(this.round, Math.max(this.commitIndex, this.termStartIndex),
					now() + this.options.proposalTimeoutMillis(), outcome));
			checkRounds();
			this.changed.signalAll();
		});
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
		this.lock.lock();
		try {
			while (this.appliedIndex < index && nanos > 0) {
				nanos = this.changed.awaitNanos(nanos);
			}
			return this.appliedIndex >= index;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		finally {
			this.lock.unlock();
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
		locked(() -> beginChange(change, outcome));
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
		return locked(() -> {
			Map<String, Long> matches = new TreeMap<>();
			if (this.role == MemberRole.LEADER) {
				this.peers.forEach((peer, progress) -> matches.put(peer, progress.matchIndex));
			}
			return new MemberStatus(this.id, this.role, this.term, leader(), this.commitIndex, this.appliedIndex,
					this.log.lastIndex(), this.log.snapshotIndex(), this.history.latest(), matches,
					Optional.ofNullable(this.failure));
		});
	}

	/**
	 * Hands the leadership to the voter that is nearest to the end of the log. New
	 * proposals are refused meanwhile. If the other one does not take over within an
	 * election time-out, this member goes on leading.
	 */
	public void transferLeadership() {
		locked(this::beginTransfer);
	}

	/**
	 * Hands the leadership over if this member leads, waits for proposals in the log, and
	 * stops.
	 * @param timeoutMillis longest wait
	 */
	public void shutdown(long timeoutMillis) {
		transferLeadership();
		long nanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		this.lock.lock();
		try {
			while (nanos > 0 && this.running && (this.transferTarget != null || !this.pending.isEmpty())) {
				nanos = Math.min(nanos, this.changed.awaitNanos(nanos));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.lock.unlock();
		}
		close();
	}

	/**
	 * Stops at once. Proposals in the log end as unknown. The log stays open.
	 */
	@Override
	public void close() {
		locked(() -> {
			this.running = false;
			Logger.info("control: {} is stopping.", this.id);
			stopWith("member is stopping");
			this.changed.signalAll();
		});
		this.tasks.shutdown();
		try {
			this.tasks.awaitTermination(2 * this.options.electionTimeoutMillis(), TimeUnit.MILLISECONDS);
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
		locked(() -> {
			expireWaiting();
			if (this.failure != null) {
				return;
			}
			if (this.role == MemberRole.LEADER) {
				tickLeader();
			}
			else if (now() >= this.electionMillis && now() >= this.diskRetryMillis
					&& this.history.latest().isVoter(this.id)) {
				startPreVote();
			}
		});
	}

	/**
	 * Appends the queued proposals as one batch and syncs once.
	 */
	void flush() {
		List<Proposal> batch = new ArrayList<>();
		if (!locked(() -> appendBatch(batch))) {
			return;
		}
		try {
			this.log.sync();
		}
		catch (StorageException ex) {
			locked(() -> stopWith(ex.getMessage()));
			return;
		}
		locked(() -> {
			advanceCommit();
			this.changed.signalAll();
		});
	}

	/**
	 * Applies the committed entries and writes a snapshot when one is due.
	 */
	void applyCommitted() {
		withStateMachine(() -> {
			Optional<LogEntry> next = locked(this::nextToApply);
			while (next.isPresent()) {
				apply(next.get());
				next = locked(this::nextToApply);
			}
		});
		withStateMachine(this::writeSnapshotIfDue);
	}

	VoteResponse handleVote(VoteRequest request) {
		return locked(() -> {
			boolean granted = grantVote(request);
			return new VoteResponse(this.term, granted);
		});
	}

	AppendResponse handleAppend(AppendRequest request) {
		return locked(() -> append(request));
	}

	SnapshotResponse handleSnapshot(SnapshotChunk chunk) {
		this.applyLock.lock();
		try {
			return locked(() -> receiveSnapshot(chunk));
		}
		finally {
			this.applyLock.unlock();
			this.events.run();
		}
	}

	void handleCommitNotice(CommitNotice notice) {
		locked(() -> {
			if (notice.term() == this.term && this.role == MemberRole.FOLLOWER) {
				followerCommit(notice.commitIndex());
			}
		});
	}

	void handleTimeoutNow(TimeoutNow request) {
		locked(() -> {
			if (request.term() == this.term && this.failure == null && this.history.latest().isVoter(this.id)) {
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
		return locked(() -> Optional.ofNullable(this.peers.get(peerId)).flatMap(this::messageFor));
	}

	/**
	 * Waits for something to send.
	 * @param peer the peer
	 * @return the message, or empty if the task of the peer should end
	 */
	Optional<PeerMessage> awaitMessage(PeerProgress peer) {
		this.lock.lock();
		try {
			while (this.running && this.peers.get(peer.member.id()) == peer) {
				Optional<PeerMessage> message = messageFor(peer);
				if (message.isPresent()) {
					return message;
				}
				this.changed.await(millisUntilDue(peer), TimeUnit.MILLISECONDS);
			}
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Handles the answer of a peer.
	 * @param peerId id of the peer
	 * @param sent the message
	 * @param response the answer
	 */
	void answered(String peerId, PeerMessage sent, Object response) {
		locked(() -> {
			PeerProgress peer = this.peers.get(peerId);
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
			this.changed.signalAll();
		});
	}

	/**
	 * Handles a message that got no answer.
	 * @param peerId id of the peer
	 * @param sent the message
	 */
	void failed(String peerId, PeerMessage sent) {
		locked(() -> {
			PeerProgress peer = this.peers.get(peerId);
			if (peer == null) {
				return;
			}
			peer.inFlight = false;
			peer.retryMillis = now() + this.options.heartbeatMillis();
			peer.roundSent = peer.roundAnswered;
			if (sent.message() instanceof VoteRequest request && request.term() >= this.term
					&& this.role != MemberRole.LEADER && this.role != MemberRole.FOLLOWER) {
				peer.vote = request;
			}
		});
	}

	// Elections

	private boolean grantVote(VoteRequest request) {
		if (this.failure != null || hearsLeader() && !request.transfer()) {
			return false;
		}
		boolean upToDate = request.lastTerm() > lastTerm()
				|| request.lastTerm() == lastTerm() && request.lastIndex() >= this.log.lastIndex();
		if (request.preVote()) {
			return request.term() > this.term && upToDate;
		}
		if (request.term() < this.term || request.term() > this.term && !follow(request.term(), null)) {
			return false;
		}
		Optional<String> votedFor = this.log.termAndVote().votedFor();
		if (!upToDate || this.role != MemberRole.FOLLOWER
				|| votedFor.isPresent() && !votedFor.get().equals(request.candidateId())) {
			return false;
		}
		if (!save(new TermAndVote(this.term, Optional.of(request.candidateId())))) {
			return false;
		}
		resetElectionTimeout();
		return true;
	}

	private boolean hearsLeader() {
		return this.role == MemberRole.LEADER
				|| this.leaderId != null && now() - this.leaderContactMillis < this.options.electionTimeoutMillis();
	}

	private void startPreVote() {
		this.role = MemberRole.PRE_CANDIDATE;
		this.leaderId = null;
		resetElectionTimeout();
		publishLeadership();
		askForVotes(new VoteRequest(this.term + 1, this.id, this.log.lastIndex(), lastTerm(), true, false));
		if (hasVotes()) {
			startElection(false);
		}
	}

	private void startElection(boolean transfer) {
		if (!save(new TermAndVote(this.term + 1, Optional.of(this.id)))) {
			this.role = MemberRole.FOLLOWER;
			return;
		}
		this.term++;
		this.role = MemberRole.CANDIDATE;
		this.leaderId = null;
		this.verifiedIndex = 0;
		resetElectionTimeout();
		publishLeadership();
		askForVotes(new VoteRequest(this.term, this.id, this.log.lastIndex(), lastTerm(), false, transfer));
		if (hasVotes()) {
			lead();
		}
	}

	private void askForVotes(VoteRequest request) {
		this.votes.clear();
		this.votes.add(this.id);
		for (PeerProgress peer : this.peers.values()) {
			peer.vote = this.history.latest().isVoter(peer.member.id()) ? request : null;
			peer.retryMillis = 0;
		}
		this.changed.signalAll();
	}

	private boolean hasVotes() {
		return this.history.latest().quorum().isSatisfiedBy(this.votes::contains);
	}

	private void voteAnswered(String peerId, VoteRequest request, VoteResponse response) {
		if (response.term() > this.term) {
			follow(response.term(), null);
			return;
		}
		boolean current = request.preVote() ? this.role == MemberRole.PRE_CANDIDATE && request.term() == this.term + 1
				: this.role == MemberRole.CANDIDATE && request.term() == this.term;
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
		this.role = MemberRole.LEADER;
		this.leaderId = this.id;
		this.transferTarget = null;
		this.termStartIndex = this.log.lastIndex() + 1;
		this.catchUpDeadlineMillis = now() + this.options.catchUpTimeoutMillis();
		this.peers.values().forEach((peer) -> peer.startLeading(this.termStartIndex, now()));
		Logger.info("control: {} leads term {}.", this.id, this.term);
		// The first leader stores the member set of the settings, so that a member that
		// is
		// added later receives it.
		boolean first = this.history.latestIndex() == 0;
		if (!appendOwn(first ? EntryKind.MEMBERS : EntryKind.NO_OP,
				first ? this.history.latest().toBytes() : NOTHING)) {
			follow(this.term, null);
		}
		publishLeadership();
	}

	/**
	 * Becomes a follower.
	 * @param newTerm the current term or a newer one
	 * @param leader the leader of that term, or null if it is not known
	 * @return false if the newer term could not be saved; then it is not entered
	 */
	private boolean follow(long newTerm, String leader) {
		boolean wasLeader = this.role == MemberRole.LEADER;
		this.role = MemberRole.FOLLOWER;
		this.leaderId = null;
		this.peers.values().forEach((peer) -> peer.vote = null);
		if (wasLeader) {
			stopLeading();
		}
		if (newTerm > this.term) {
			if (!save(new TermAndVote(newTerm, Optional.empty()))) {
				publishLeadership();
				return false;
			}
			this.term = newTerm;
			this.verifiedIndex = 0;
		}
		this.leaderId = leader;
		publishLeadership();
		return true;
	}

	private void stopLeading() {
		Logger.info("control: {} no longer leads term {}.", this.id, this.term);
		this.transferTarget = null;
		refuseQueued("this member is no longer the leader");
		this.rounds.forEach((waiting) -> complete(waiting.outcome(), OptionalLong.empty()));
		this.rounds.clear();
		endChange(new Unknown("leadership was lost; the next leader continues or ends the change"));
		this.peers.values().removeIf((peer) -> peer.leaveMillis > 0);
		resetElectionTimeout();
		this.changed.signalAll();
	}

	private void tickLeader() {
		long oldest = now() - this.options.electionTimeoutMillis();
		if (!this.history.latest()
			.quorum()
			.isSatisfiedBy((voter) -> voter.equals(this.id) || answeredSince(voter, oldest))) {
			Logger.warn("control: {} steps down, as no quorum has answered for {} ms.", this.id,
					this.options.electionTimeoutMillis());
			follow(this.term, null);
			return;
		}
		if (this.transferTarget != null && now() >= this.transferDeadlineMillis) {
			Logger.warn("control: Member {} did not take the leadership over.", this.transferTarget);
			this.transferTarget = null;
			this.changed.signalAll();
		}
		if (this.peers.values().removeIf(this::hasLeft)) {
			this.changed.signalAll();
		}
		advanceChange();
	}

	private boolean answeredSince(String peerId, long millis) {
		PeerProgress peer = this.peers.get(peerId);
		return peer != null && peer.answeredMillis >= millis;
	}

	private boolean hasLeft(PeerProgress peer) {
		return peer.leaveMillis > 0 && (now() >= peer.leaveMillis || !peer.inFlight
				&& peer.matchIndex >= this.history.latestIndex() && peer.commitSent >= this.history.latestIndex());
	}

	private void beginTransfer() {
		if (this.role != MemberRole.LEADER || this.transferTarget != null) {
			return;
		}
		long oldest = now() - this.options.electionTimeoutMillis();
		mostRecentVoter().filter((peer) -> peer.answeredMillis >= oldest).ifPresent((peer) -> {
			this.transferTarget = peer.member.id();
			this.transferSent = false;
			this.transferDeadlineMillis = now() + this.options.electionTimeoutMillis();
			refuseQueued("leadership is being handed over");
			this.changed.signalAll();
		});
	}

	private Optional<PeerProgress> mostRecentVoter() {
		return this.peers.values()
			.stream()
			.filter((peer) -> this.history.latest().isVoter(peer.member.id()))
			.max(Comparator.comparingLong((peer) -> peer.matchIndex));
	}

	// Proposals and commit

	private void enqueue(Proposal proposal) {
		if (this.failure != null) {
			refuse(proposal.outcome(), "member has stopped: " + this.failure);
		}
		else if (this.role != MemberRole.LEADER) {
			refuse(proposal.outcome(), "this member is not the leader");
		}
		else if (this.transferTarget != null) {
			refuse(proposal.outcome(), "leadership is being handed over");
		}
		else if (proposal.command().length > this.options.largestCommandBytes()) {
			refuse(proposal.outcome(), "command of " + proposal.command().length + " bytes is over the limit of "
					+ this.options.largestCommandBytes());
		}
		else if (this.queuedBytes + proposal.command().length > MOST_QUEUED_BYTES) {
			refuse(proposal.outcome(), "too many proposals are waiting");
		}
		else {
			this.queue.add(proposal);
			this.queuedBytes += proposal.command().length;
			this.changed.signalAll();
		}
	}

	private boolean appendBatch(List<Proposal> batch) {
		if (this.role != MemberRole.LEADER || this.failure != null) {
			refuseQueued("this member is not the leader");
			return false;
		}
		List<LogEntry> entries = takeBatch(batch);
		if (entries.isEmpty()) {
			return false;
		}
		try {
			this.log.append(entries);
		}
		catch (StorageException ex) {
			batchFailed(batch, ex);
			return false;
		}
		for (int position = 0; position < entries.size(); position++) {
			this.pending.computeIfAbsent(entries.get(position).index(), (index) -> new ArrayList<>())
				.add(new Proposal.Appended(batch.get(position), this.term));
		}
		return true;
	}

	private List<LogEntry> takeBatch(List<Proposal> batch) {
		List<LogEntry> entries = new ArrayList<>();
		long bytes = 0;
		while (!this.queue.isEmpty() && bytes < this.options.batchBytes()) {
			Proposal proposal = this.queue.remove();
			batch.add(proposal);
			bytes += proposal.command().length;
			entries.add(new LogEntry(this.log.lastIndex() + 1 + entries.size(), this.term, EntryKind.COMMAND,
					proposal.command()));
		}
		this.queuedBytes -= bytes;
		return entries;
	}

	private void batchFailed(List<Proposal> batch, StorageException ex) {
		if (ex.isPermanent()) {
			batch.forEach((proposal) -> complete(proposal.outcome(), new Unknown(ex.getMessage())));
		}
		else {
			batch.forEach((proposal) -> refuse(proposal.outcome(), ex.getMessage()));
		}
		storageFailed(ex);
	}

	/**
	 * Appends an entry of the leader itself and syncs it.
	 * @param kind kind of the entry
	 * @param payload payload of the entry
	 * @return false if the disk refused it
	 */
	private boolean appendOwn(EntryKind kind, byte[] payload) {
		LogEntry entry = new LogEntry(this.log.lastIndex() + 1, this.term, kind, payload);
		try {
			this.log.append(List.of(entry));
			this.log.sync();
		}
		catch (StorageException ex) {
			storageFailed(ex);
			return false;
		}
		rememberMembers(entry);
		updatePeers();
		advanceCommit();
		this.changed.signalAll();
		return true;
	}

	private void advanceCommit() {
		if (this.role != MemberRole.LEADER || this.failure != null) {
			return;
		}
		long agreed = this.history.latest().quorum().largestReached(this::durableIndex);
		if (agreed > this.commitIndex && this.log.term(agreed).orElse(0) == this.term) {
			this.commitIndex = agreed;
			this.changed.signalAll();
			checkRounds();
			memberSetCommitted();
		}
	}

	private long durableIndex(String voter) {
		if (voter.equals(this.id)) {
			return this.log.syncedIndex();
		}
		PeerProgress peer = this.peers.get(voter);
		return (peer != null) ? peer.matchIndex : 0;
	}

	private void followerCommit(long leaderCommit) {
		long index = Math.min(leaderCommit, this.verifiedIndex);
		if (index > this.commitIndex) {
			this.commitIndex = index;
			this.changed.signalAll();
		}
	}

	private void checkRounds() {
		for (Iterator<LeadershipRound> iterator = this.rounds.iterator(); iterator.hasNext();) {
			LeadershipRound waiting = iterator.next();
			boolean answered = this.history.latest()
				.quorum()
				.isSatisfiedBy((voter) -> voter.equals(this.id) || hasAnswered(voter, waiting.round()));
			if (answered && this.commitIndex >= waiting.index()) {
				iterator.remove();
				complete(waiting.outcome(), OptionalLong.of(waiting.index()));
			}
		}
	}

	private boolean hasAnswered(String peerId, long wanted) {
		PeerProgress peer = this.peers.get(peerId);
		return peer != null && peer.roundAnswered >= wanted;
	}

	private void expireWaiting() {
		long now = now();
		while (!this.queue.isEmpty() && this.queue.element().deadlineMillis() <= now) {
			this.queuedBytes -= this.queue.element().command().length;
			refuse(this.queue.remove().outcome(), "the proposal was not written in time");
		}
		this.rounds.removeIf((waiting) -> {
			if (waiting.deadlineMillis() > now) {
				return false;
			}
			complete(waiting.outcome(), OptionalLong.empty());
			return true;
		});
		this.pending.values().forEach((list) -> list.removeIf((appended) -> {
			if (appended.proposal().deadlineMillis() > now) {
				return false;
			}
			complete(appended.proposal().outcome(), new Unknown("the entry was not committed in time"));
			return true;
		}));
		this.pending.values().removeIf(List::isEmpty);
	}

	// Sending to peers

	private Optional<PeerMessage> messageFor(PeerProgress peer) {
		if (peer.inFlight || this.failure != null) {
			return Optional.empty();
		}
		if (peer.handover != null) {
			TimeoutNow handover = peer.handover;
			peer.handover = null;
			return Optional.of(message(handover, false));
		}
		if (peer.vote != null && now() >= peer.retryMillis) {
			VoteRequest vote = peer.vote;
			peer.vote = null;
			return Optional.of(call(peer, vote));
		}
		if (this.role == MemberRole.LEADER) {
			return leaderMessageFor(peer);
		}
		return Optional.empty();
	}

	private Optional<PeerMessage> leaderMessageFor(PeerProgress peer) {
		if (peer.member.id().equals(this.transferTarget) && !this.transferSent
				&& peer.matchIndex == this.log.lastIndex()) {
			this.transferSent = true;
			return Optional.of(message(new TimeoutNow(this.term, this.id), false));
		}
		if (now() < peer.retryMillis) {
			return Optional.empty();
		}
		if (peer.nextIndex < this.log.firstIndex() || peer.snapshot != null) {
			return snapshotMessageFor(peer);
		}
		boolean entries = peer.nextIndex <= this.log.syncedIndex();
		boolean due = now() - peer.sentMillis >= this.options.heartbeatMillis() || peer.roundSent < this.round;
		if (entries || due) {
			return Optional.of(call(peer, appendRequest(peer)));
		}
		if (peer.commitSent < this.commitIndex) {
			peer.commitSent = this.commitIndex;
			return Optional.of(message(new CommitNotice(this.term, this.id, this.commitIndex), false));
		}
		return Optional.empty();
	}

	private Optional<PeerMessage> snapshotMessageFor(PeerProgress peer) {
		if (peer.snapshot == null && !loadSnapshot(peer)) {
			return Optional.empty();
		}
		Snapshot snapshot = peer.snapshot;
		int length = Math.min(this.options.snapshotChunkBytes(), snapshot.data().length - peer.snapshotOffset);
		byte[] bytes = new byte[length];
		System.arraycopy(snapshot.data(), peer.snapshotOffset, bytes, 0, length);
		return Optional.of(call(peer, new SnapshotChunk(this.term, this.id, snapshot.index(), snapshot.term(),
				snapshot.members(), snapshot.data().length, peer.snapshotChecksum, peer.snapshotOffset, bytes)));
	}

	private boolean loadSnapshot(PeerProgress peer) {
		try {
			peer.snapshot = this.log.snapshot().orElse(null);
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
		return new AppendRequest(this.term, this.id, previous, this.log.term(previous).orElseThrow(), this.commitIndex,
				this.log.entries(peer.nextIndex, this.log.syncedIndex(), this.options.batchBytes()));
	}

	private PeerMessage call(PeerProgress peer, Object message) {
		peer.inFlight = true;
		peer.sentMillis = now();
		peer.roundSent = this.round;
		if (message instanceof AppendRequest) {
			peer.commitSent = Math.max(peer.commitSent, this.commitIndex);
		}
		return message(message, true);
	}

	private PeerMessage message(Object message, boolean call) {
		return new PeerMessage(message, call, now(), this.round, this.commitIndex);
	}

	private long millisUntilDue(PeerProgress peer) {
		if (this.role != MemberRole.LEADER || peer.inFlight) {
			return IDLE_MILLIS;
		}
		long due = Math.max(peer.sentMillis + this.options.heartbeatMillis(), peer.retryMillis);
		return Math.clamp(due - now(), 1, IDLE_MILLIS);
	}

	private void appendAnswered(PeerProgress peer, PeerMessage sent, AppendRequest request, AppendResponse answer) {
		if (!isAnswerToLeader(request.term(), answer.term())) {
			return;
		}
		if (answer.result() == AppendResponse.Result.UNAVAILABLE) {
			peer.retryMillis = now() + this.options.heartbeatMillis();
			return;
		}
		peer.answeredMillis = Math.max(peer.answeredMillis, sent.sentMillis());
		peer.roundAnswered = Math.max(peer.roundAnswered, sent.round());
		if (answer.result() == AppendResponse.Result.SUCCESS) {
			peer.matched(Math.min(answer.index(), request.previousIndex() + request.entries().size()));
			if (peer.matchIndex >= sent.commitIndex()) {
				peer.caughtUpMillis = now();
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
				peer.retryMillis = now() + this.options.heartbeatMillis();
			}
			peer.snapshotOffset = Math.clamp(answer.nextOffset(), 0, chunk.totalBytes());
		}
		progressMade();
	}

	private boolean isAnswerToLeader(long requestTerm, long answerTerm) {
		if (answerTerm > this.term) {
			follow(answerTerm, null);
			return false;
		}
		return this.role == MemberRole.LEADER && requestTerm == this.term;
	}

	private void progressMade() {
		checkRounds();
		advanceCommit();
		if (this.role == MemberRole.LEADER) {
			advanceChange();
		}
	}

	// Receiving from a leader

	private AppendResponse append(AppendRequest request) {
		if (request.term() < this.term) {
			return new AppendResponse(this.term, AppendResponse.Result.OLD_TERM, 0);
		}
		if (!acceptLeader(request.term(), request.leaderId())) {
			return new AppendResponse(this.term, AppendResponse.Result.UNAVAILABLE, 0);
		}
		OptionalLong lastPossible = mismatch(request);
		if (lastPossible.isPresent()) {
			return new AppendResponse(this.term, AppendResponse.Result.MISMATCH, lastPossible.getAsLong());
		}
		long last = request.previousIndex() + request.entries().size();
		try {
			store(request.entries(), last);
		}
		catch (StorageException ex) {
			storageFailed(ex);
			return new AppendResponse(this.term, AppendResponse.Result.UNAVAILABLE, 0);
		}
		this.verifiedIndex = Math.max(this.verifiedIndex, last);
		followerCommit(request.commitIndex());
		return new AppendResponse(this.term, AppendResponse.Result.SUCCESS, last);
	}

	private boolean acceptLeader(long leaderTerm, String leader) {
		if (this.failure != null) {
			return false;
		}
		if (leaderTerm == this.term && this.role == MemberRole.LEADER) {
			throw new LavenderroadException("members " + this.id + " and " + leader + " both lead term " + this.term);
		}
		boolean known = leaderTerm == this.term && this.role == MemberRole.FOLLOWER && leader.equals(this.leaderId);
		if (!known && !follow(leaderTerm, leader)) {
			return false;
		}
		this.leaderContactMillis = now();
		resetElectionTimeout();
		return true;
	}

	private OptionalLong mismatch(AppendRequest request) {
		long previous = request.previousIndex();
		if (previous < this.log.firstIndex() - 1) {
			// The snapshot contains only committed entries, which equal those of the
			// leader.
			return OptionalLong.empty();
		}
		OptionalLong known = this.log.term(previous);
		if (known.isEmpty()) {
			return OptionalLong.of(this.log.lastIndex());
		}
		if (known.getAsLong() == request.previousTerm()) {
			return OptionalLong.empty();
		}
		long index = previous;
		while (index > this.commitIndex && this.log.term(index).equals(known)) {
			index--;
		}
		return OptionalLong.of(index);
	}

	private void store(List<LogEntry> entries, long last) {
		List<LogEntry> missing = missing(entries);
		if (!missing.isEmpty()) {
			if (missing.getFirst().index() <= this.log.lastIndex()) {
				truncate(missing.getFirst().index());
			}
			this.log.append(missing);
			missing.forEach(this::rememberMembers);
		}
		if (this.log.syncedIndex() < last) {
			this.log.sync();
		}
		if (missing.stream().anyMatch((entry) -> entry.kind() == EntryKind.MEMBERS)) {
			updatePeers();
		}
	}

	private List<LogEntry> missing(List<LogEntry> entries) {
		for (int position = 0; position < entries.size(); position++) {
			LogEntry entry = entries.get(position);
			boolean compacted = entry.index() < this.log.firstIndex();
			if (!compacted && this.log.term(entry.index()).orElse(-1) != entry.term()) {
				return entries.subList(position, entries.size());
			}
		}
		return List.of();
	}

	private void truncate(long index) {
		if (index <= this.commitIndex) {
			stopWith("leader sent another entry " + index + " than the committed one");
			throw new LavenderroadException(this.failure);
		}
		this.log.truncateFrom(index);
		this.history.truncateFrom(index);
		updatePeers();
	}

	private SnapshotResponse receiveSnapshot(SnapshotChunk chunk) {
		if (chunk.term() < this.term || !acceptLeader(chunk.term(), chunk.leaderId())) {
			return new SnapshotResponse(this.term, 0, false);
		}
		if (chunk.snapshotIndex() <= this.commitIndex) {
			return new SnapshotResponse(this.term, 0, true);
		}
		Optional<Snapshot> complete = this.snapshotReceiver.add(chunk);
		if (complete.isEmpty()) {
			return new SnapshotResponse(this.term, this.snapshotReceiver.nextOffset(), false);
		}
		try {
			install(complete.get());
			return new SnapshotResponse(this.term, 0, true);
		}
		catch (StorageException ex) {
			storageFailed(ex);
			return new SnapshotResponse(this.term, 0, false);
		}
	}

	private void install(Snapshot snapshot) {
		MemberSet members = MemberSet.fromBytes(snapshot.members());
		this.log.installSnapshot(snapshot);
		this.history.restartAt(snapshot.index(), members);
		this.history.truncateFrom(this.log.lastIndex() + 1);
		this.commitIndex = snapshot.index();
		this.appliedIndex = snapshot.index();
		this.verifiedIndex = Math.max(this.verifiedIndex, snapshot.index());
		this.nextSnapshotIndex = this.appliedIndex + this.options.snapshotEveryEntries();
		this.stateMachine.restore(snapshot.data());
		this.pending.entrySet().removeIf((entry) -> {
			boolean covered = entry.getKey() <= snapshot.index();
			if (covered) {
				entry.getValue()
					.forEach((appended) -> complete(appended.proposal().outcome(),
							new Unknown("a snapshot replaced the log before the result was known")));
			}
			return covered;
		});
		updatePeers();
		this.changed.signalAll();
	}

	// Applying

	private void withStateMachine(Runnable action) {
		this.applyLock.lock();
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "control: Using the state machine failed.");
			locked(() -> stopWith("using the state machine failed: " + ex));
		}
		finally {
			this.applyLock.unlock();
			this.events.run();
		}
	}

	private Optional<LogEntry> nextToApply() {
		if (this.failure != null || this.appliedIndex >= this.commitIndex) {
			return Optional.empty();
		}
		Optional<LogEntry> entry = this.log.entry(this.appliedIndex + 1);
		if (entry.isEmpty()) {
			stopWith("committed entry " + (this.appliedIndex + 1) + " is missing in the log");
		}
		return entry;
	}

	private void apply(LogEntry entry) {
		boolean command = entry.kind() == EntryKind.COMMAND;
		byte[] result = command ? this.stateMachine.apply(entry.index(), entry.payload()) : NOTHING;
		locked(() -> {
			this.appliedIndex = entry.index();
			List<Proposal.Appended> waiting = this.pending.remove(entry.index());
			if (waiting != null) {
				waiting.forEach((appended) -> resolve(appended, entry, result));
			}
			publishLeadership();
			this.changed.signalAll();
		});
		if (command) {
			this.applyListeners.forEach((listener) -> listener.applied(entry.index(), entry.payload(), result));
		}
	}

	private void resolve(Proposal.Appended appended, LogEntry committed, byte[] result) {
		if (appended.term() == committed.term()) {
			complete(appended.proposal().outcome(), new Accepted(result, committed.index()));
		}
		else {
			// Another entry was committed at the index, so this one never can be.
			refuse(appended.proposal().outcome(), "a newer leader committed another entry in its place");
		}
	}

	private void writeSnapshotIfDue() {
		long applied = this.appliedIndex;
		boolean due = applied >= this.nextSnapshotIndex
				|| this.log.bytes() - this.bytesAfterSnapshot >= this.options.snapshotEveryBytes();
		if (!due || applied <= this.log.snapshotIndex() || locked(() -> this.failure != null)) {
			return;
		}
		byte[] members = locked(() -> this.history.at(applied).toBytes());
		try {
			this.log.saveSnapshot(
					new Snapshot(applied, this.log.term(applied).orElseThrow(), members, this.stateMachine.snapshot()));
			// Under the lock, so that a message to a peer never refers to a forgotten
			// entry.
			locked(() -> this.log.compact(lastToForget(applied)));
		}
		catch (StorageException ex) {
			locked(() -> storageFailed(ex));
		}
		this.nextSnapshotIndex = applied + this.options.snapshotEveryEntries();
		this.bytesAfterSnapshot = this.log.bytes();
		locked(() -> this.history.compact(this.log.snapshotIndex()));
	}

	private long lastToForget(long applied) {
		long bytes = 0;
		long index = applied;
		while (index > applied - this.options.keptEntries() && index >= this.log.firstIndex()) {
			bytes += this.log.entry(index).orElseThrow().payload().length;
			if (bytes > this.options.snapshotEveryBytes() / 2) {
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
			refuse(outcome, refusal.get());
			return;
		}
		this.changeOutcome = outcome;
		this.changeGivenUp = null;
		this.catchUpDeadlineMillis = now() + this.options.catchUpTimeoutMillis();
		if (!appendOwn(EntryKind.MEMBERS, this.history.latest().begin(change).toBytes())) {
			endChange(new NotRun("the disk refused the change", Optional.empty()));
		}
	}

	private Optional<String> refusal(MemberChange change) {
		MemberSet set = this.history.latest();
		if (this.failure != null || this.role != MemberRole.LEADER || this.transferTarget != null) {
			return Optional.of("this member is not the leader or hands the leadership over");
		}
		if (this.commitIndex < this.termStartIndex) {
			return Optional.of("the leader has not yet committed an entry of its term");
		}
		if (set.change().isPresent() || this.history.latestIndex() > this.commitIndex) {
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
		long oldest = now() - this.options.electionTimeoutMillis();
		boolean works = next.quorum().isSatisfiedBy((voter) -> voter.equals(this.id) || answeredSince(voter, oldest));
		return works ? Optional.empty() : Optional.of("the remaining voters that answer would be no quorum");
	}

	/**
	 * Takes the next step of the change in progress, once the step before is committed.
	 */
	private void advanceChange() {
		MemberSet set = this.history.latest();
		if (set.change().isEmpty() || this.history.latestIndex() > this.commitIndex
				|| this.commitIndex < this.termStartIndex || this.transferTarget != null) {
			return;
		}
		String added = set.change().get().added().orElseThrow().id();
		if (set.isVoter(added)) {
			appendOwn(EntryKind.MEMBERS, set.removeReplaced().toBytes());
			return;
		}
		PeerProgress peer = this.peers.get(added);
		if (peer != null && now() - peer.caughtUpMillis <= this.options.electionTimeoutMillis()) {
			appendOwn(EntryKind.MEMBERS, set.promoteAdded().toBytes());
		}
		else if (now() >= this.catchUpDeadlineMillis) {
			this.changeGivenUp = "member " + added + " did not catch up in time";
			appendOwn(EntryKind.MEMBERS, set.giveUpAdded().toBytes());
		}
	}

	private void memberSetCommitted() {
		MemberSet set = this.history.latest();
		if (this.history.latestIndex() > this.commitIndex) {
			return;
		}
		if (set.change().isEmpty()) {
			endChange((this.changeGivenUp != null) ? new NotRun(this.changeGivenUp, Optional.empty())
					: new Accepted(NOTHING, this.history.latestIndex()));
		}
		if (set.find(this.id).isEmpty()) {
			Logger.info("control: {} was removed from the group and steps down.", this.id);
			mostRecentVoter().ifPresent((peer) -> peer.handover = new TimeoutNow(this.term, this.id));
			follow(this.term, null);
		}
		else {
			advanceChange();
		}
	}

	private void endChange(ProposalOutcome outcome) {
		if (this.changeOutcome != null) {
			complete(this.changeOutcome, outcome);
			this.changeOutcome = null;
		}
	}

	private void rememberMembers(LogEntry entry) {
		if (entry.kind() == EntryKind.MEMBERS) {
			this.history.add(entry.index(), MemberSet.fromBytes(entry.payload()));
		}
	}

	private void updatePeers() {
		MemberSet set = this.history.latest();
		for (Member member : set.members()) {
			PeerProgress known = this.peers.get(member.id());
			if (known != null) {
				known.leaveMillis = 0;
			}
			else if (!member.id().equals(this.id)) {
				addPeer(member);
			}
		}
		// The leader keeps sending to a removed member for a while, so that it learns of
		// its
		// removal.
		long leave = now() + 4 * this.options.electionTimeoutMillis();
		this.peers.values().removeIf((peer) -> {
			boolean gone = set.find(peer.member.id()).isEmpty();
			if (gone && peer.leaveMillis == 0) {
				peer.leaveMillis = leave;
			}
			return gone && this.role != MemberRole.LEADER;
		});
		this.changed.signalAll();
	}

	private void addPeer(Member member) {
		PeerProgress peer = new PeerProgress(member);
		peer.startLeading(this.log.lastIndex() + 1, now());
		this.peers.put(member.id(), peer);
		startPeerTask(peer);
	}

	// Common parts

	private long now() {
		return this.clock.millis();
	}

	private long lastTerm() {
		return this.log.term(this.log.lastIndex()).orElseThrow();
	}

	private void resetElectionTimeout() {
		this.electionMillis = now() + this.options.electionTimeoutMillis()
				+ this.random.nextLong(this.options.electionTimeoutMillis());
	}

	private Optional<Member> leader() {
		return Optional.ofNullable(this.leaderId).flatMap((leader) -> this.history.latest().find(leader));
	}

	private boolean save(TermAndVote value) {
		try {
			this.log.saveTermAndVote(value);
			return true;
		}
		catch (StorageException ex) {
			storageFailed(ex);
			return false;
		}
	}

	private void storageFailed(StorageException ex) {
		if (ex.isPermanent()) {
			stopWith(ex.getMessage());
			return;
		}
		Logger.warn("control: {} cannot write: {}.", this.id, ex.getMessage());
		this.diskRetryMillis = now() + DISK_RETRY_ELECTIONS * this.options.electionTimeoutMillis();
		beginTransfer();
	}

	/**
	 * Stops voting, acknowledging and proposing until the member is opened again.
	 * @param reason short sentence for operators
	 */
	private void stopWith(String reason) {
		if (this.failure != null) {
			return;
		}
		if (this.running) {
			Logger.warn("control: {} stops voting and acknowledging: {}.", this.id, reason);
		}
		this.failure = reason;
		follow(this.term, null);
		refuseQueued("member has stopped: " + reason);
		this.pending.values()
			.forEach((list) -> list.forEach((appended) -> complete(appended.proposal().outcome(),
					new Unknown("member has stopped: " + reason))));
		this.pending.clear();
		this.changed.signalAll();
	}

	private void refuseQueued(String reason) {
		this.queue.forEach((proposal) -> refuse(proposal.outcome(), reason));
		this.queue.clear();
		this.queuedBytes = 0;
	}

	private void refuse(CompletableFuture<ProposalOutcome> outcome, String reason) {
		complete(outcome, new NotRun(reason, leader().filter((member) -> !member.id().equals(this.id))));
	}

	private <T> void complete(CompletableFuture<T> future, T value) {
		this.events.add(() -> future.complete(value));
	}

	private void publishLeadership() {
		boolean local = this.role == MemberRole.LEADER;
		Leadership current = new Leadership(this.term, Optional.ofNullable(this.leaderId), local,
				local && this.appliedIndex >= this.termStartIndex);
		if (!current.equals(this.published)) {
			this.published = current;
			this.events.add(() -> this.leadershipListeners.forEach((listener) -> listener.changed(current)));
		}
	}

	private void locked(Runnable action) {
		locked(() -> {
			action.run();
			return true;
		});
	}

	private <T> T locked(Supplier<T> action) {
		this.lock.lock();
		try {
			return action.get();
		}
		finally {
			this.lock.unlock();
			if (!this.applyLock.isHeldByCurrentThread()) {
				this.events.run();
			}
		}
	}

	private <T> T await(CompletableFuture<T> future, T late, T interrupted) {
		try {
			return future.get(2 * this.options.proposalTimeoutMillis(), TimeUnit.MILLISECONDS);
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
		if (this.running) {
			this.tasks.execute(new PeerTask(this, peer, this.wireOptions, this.options.electionTimeoutMillis()));
		}
	}

	private void runTimer() {
		try {
			while (locked(() -> this.running)) {
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
			locked(() -> stopWith("unexpected error: " + ex));
		}
	}

	private void runWhen(BooleanSupplier due, Runnable action) {
		while (awaitDue(due)) {
			action.run();
		}
	}

	private boolean awaitDue(BooleanSupplier due) {
		this.lock.lock();
		try {
			while (this.running && !due.getAsBoolean()) {
				this.changed.await(IDLE_MILLIS, TimeUnit.MILLISECONDS);
			}
			return this.running;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		finally {
			this.lock.unlock();
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
