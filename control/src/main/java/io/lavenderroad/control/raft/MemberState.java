package io.lavenderroad.control.raft;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

import io.lavenderroad.control.log.DurableLog;
import io.lavenderroad.control.raft.ProposalOutcome.NotRun;
import io.lavenderroad.core.Clock;

/**
 * State that the parts of a {@link ControlMember} share, and the few operations on it
 * that every part needs. {@code lock} guards all fields that change; the exceptions are
 * the listeners, the event queue and the log, which guard themselves. Callers hold
 * {@code lock} unless a method says otherwise. {@code applyLock} is taken before
 * {@code lock}.
 */
final class MemberState {

	static final long IDLE_MILLIS = 200;

	static final byte[] NOTHING = new byte[0];

	final String id;

	final MemberOptions options;

	private final Clock clock;

	final DurableLog log;

	final List<LeadershipListener> leadershipListeners = new CopyOnWriteArrayList<>();

	final EventQueue events = new EventQueue();

	final ReentrantLock applyLock = new ReentrantLock();

	final ReentrantLock lock = new ReentrantLock();

	final Condition changed = this.lock.newCondition();

	final MemberHistory history;

	final Map<String, PeerProgress> peers = new TreeMap<>();

	boolean running;

	String failure;

	MemberRole role = MemberRole.FOLLOWER;

	long term;

	String leaderId;

	long commitIndex;

	long appliedIndex;

	/**
	 * Last entry that is known to equal that of the leader of this term.
	 */
	long verifiedIndex;

	long termStartIndex;

	long round;

	String transferTarget;

	boolean transferSent;

	private Leadership published;

	MemberState(String id, MemberOptions options, Clock clock, DurableLog log, MemberHistory history) {
		this.id = id;
		this.options = options;
		this.clock = clock;
		this.log = log;
		this.history = history;
		this.term = log.termAndVote().term();
		this.published = new Leadership(this.term, Optional.empty(), false, false);
	}

	long now() {
		return this.clock.millis();
	}

	long lastTerm() {
		return this.log.term(this.log.lastIndex()).orElseThrow();
	}

	Optional<Member> leader() {
		return Optional.ofNullable(this.leaderId).flatMap((leader) -> this.history.latest().find(leader));
	}

	void refuse(CompletableFuture<ProposalOutcome> outcome, String reason) {
		complete(outcome, new NotRun(reason, leader().filter((member) -> !member.id().equals(this.id))));
	}

	<T> void complete(CompletableFuture<T> future, T value) {
		this.events.add(() -> future.complete(value));
	}

	void publishLeadership() {
		boolean local = this.role == MemberRole.LEADER;
		Leadership current = new Leadership(this.term, Optional.ofNullable(this.leaderId), local,
				local && this.appliedIndex >= this.termStartIndex);
		if (!current.equals(this.published)) {
			this.published = current;
			this.events.add(() -> this.leadershipListeners.forEach((listener) -> listener.changed(current)));
		}
	}

	void locked(Runnable action) {
		locked(() -> {
			action.run();
			return true;
		});
	}

	/**
	 * Runs an action under {@code lock} and then the queued events, unless this thread
	 * holds {@code applyLock}; its owner runs them after releasing it.
	 * @param <T> type of the result
	 * @param action the action
	 * @return the result of the action
	 */
	<T> T locked(Supplier<T> action) {
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

	boolean answeredSince(String peerId, long millis) {
		PeerProgress peer = this.peers.get(peerId);
		return peer != null && peer.answeredMillis >= millis;
	}

	Optional<PeerProgress> mostRecentVoter() {
		return this.peers.values()
			.stream()
			.filter((peer) -> this.history.latest().isVoter(peer.member.id()))
			.max(Comparator.comparingLong((peer) -> peer.matchIndex));
	}

}
