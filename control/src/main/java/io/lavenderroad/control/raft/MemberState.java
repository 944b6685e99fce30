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
 * State shared by the components of a {@link ControlMember}, with the operations that
 * several components use. {@code lock} guards all mutable state except the listeners, the
 * event queue and the log, which are thread-safe. Callers hold {@code lock} unless a
 * method documents otherwise. {@code applyLock} is acquired before {@code lock}.
 */
final class MemberState {

	static final long MAXIMUM_WAIT_MILLIS = 200;

	static final byte[] EMPTY_BYTES = new byte[0];

	final String id;

	final MemberOptions options;

	private final Clock clock;

	final DurableLog log;

	final List<LeadershipListener> leadershipListeners = new CopyOnWriteArrayList<>();

	final EventQueue events = new EventQueue();

	final ReentrantLock applyLock = new ReentrantLock();

	final ReentrantLock lock = new ReentrantLock();

	final Condition stateChanged = this.lock.newCondition();

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
	 * Index of the last entry known to match the log of the leader of this term.
	 */
	long verifiedIndex;

	/**
	 * Index of the first entry that this member appended as leader of its term.
	 */
	long termStartIndex;

	long confirmationRound;

	String transferTarget;

	boolean timeoutNowSent;

	private Leadership publishedLeadership;

	MemberState(String id, MemberOptions options, Clock clock, DurableLog log, MemberHistory history) {
		this.id = id;
		this.options = options;
		this.clock = clock;
		this.log = log;
		this.history = history;
		this.term = log.termAndVote().term();
		this.publishedLeadership = new Leadership(this.term, Optional.empty(), false, false);
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
		boolean leads = this.role == MemberRole.LEADER;
		Leadership current = new Leadership(this.term, Optional.ofNullable(this.leaderId), leads,
				leads && this.appliedIndex >= this.termStartIndex);
		if (!current.equals(this.publishedLeadership)) {
			this.publishedLeadership = current;
			this.events.add(() -> this.leadershipListeners.forEach((listener) -> listener.leadershipChanged(current)));
		}
	}

	void withLock(Runnable action) {
		withLock(() -> {
			action.run();
			return true;
		});
	}

	/**
	 * Runs an action while holding {@code lock}, then releases it and runs the queued
	 * events. If this thread holds {@code applyLock}, the events stay queued and run
	 * after that lock is released.
	 * @param <T> type of the result
	 * @param action the action
	 * @return the result of the action
	 */
	<T> T withLock(Supplier<T> action) {
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

	boolean respondedSince(String peerId, long millis) {
		PeerProgress peer = this.peers.get(peerId);
		return peer != null && peer.lastContactMillis >= millis;
	}

	Optional<PeerProgress> voterWithHighestMatchIndex() {
		return this.peers.values()
			.stream()
			.filter((peer) -> this.history.latest().isVoter(peer.member.id()))
			.max(Comparator.comparingLong((peer) -> peer.matchIndex));
	}

}
