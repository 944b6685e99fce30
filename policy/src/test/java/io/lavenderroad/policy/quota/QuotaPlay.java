package io.lavenderroad.policy.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.LongFunction;

import io.lavenderroad.model.Quota;

/**
 * Plays one team at several nodes with a ledger. Records the time of each admitted
 * request and the largest number in a sliding window.
 */
class QuotaPlay {

	static final String TEAM = "team";

	final LongFunction<QuotaLedger> ledgers;

	final Deque<Long> admitted = new ArrayDeque<>();

	final Node[] nodes;

	Quota quota;

	QuotaLedger ledger;

	long now;

	int largestWindow;

	int beyondQuota;

	int admittedTotal;

	QuotaPlay(Quota quota, int nodes, LongFunction<QuotaLedger> ledgers) {
		this.quota = quota;
		this.ledgers = ledgers;
		this.ledger = ledgers.apply(0);
		this.nodes = new Node[nodes];
		for (int index = 0; index < nodes; index++) {
			this.nodes[index] = new Node("node-" + index, this.ledger);
		}
	}

	double bound() {
		return QuotaTimes.windowBound(this.quota);
	}

	void changeLeader() {
		this.ledger = this.ledgers.apply(this.now);
		for (Node node : this.nodes) {
			node.leader = this.ledger;
		}
	}

	void use() {
		this.admittedTotal++;
		this.admitted.addLast(this.now);
		while (this.admitted.getFirst() <= this.now - QuotaTimes.WINDOW_MILLIS) {
			this.admitted.removeFirst();
		}
		this.largestWindow = Math.max(this.largestWindow, this.admitted.size());
	}

	QuotaLeases createLeases(String id, long incarnation) {
		return new QuotaLeases(id, incarnation);
	}

	/**
	 * Node whose clock stands still while it is frozen.
	 */
	final class Node {

		final String id;

		QuotaLedger leader;

		QuotaLeases leases;

		long incarnation;

		long frozenMillis;

		long frozenAt = -1;

		Optional<QuotaRequest> delayed = Optional.empty();

		Node(String id, QuotaLedger leader) {
			this.id = id;
			this.leader = leader;
			restart();
		}

		long clock() {
			return ((this.frozenAt >= 0) ? this.frozenAt : QuotaPlay.this.now) - this.frozenMillis;
		}

		void restart() {
			this.leases = createLeases(this.id, ++this.incarnation);
		}

		void freeze() {
			this.frozenAt = QuotaPlay.this.now;
		}

		void resume() {
			if (this.frozenAt >= 0) {
				this.frozenMillis += QuotaPlay.this.now - this.frozenAt;
				this.frozenAt = -1;
			}
		}

		boolean request() {
			Optional<QuotaGrant> grant = send();
			grant.ifPresent((received) -> this.leases.granted(received, clock()));
			return grant.isPresent();
		}

		Optional<QuotaGrant> send() {
			return this.leases.next(clock())
				.map((request) -> new QuotaGrant(true, Optional.empty(),
						this.leader.grant(request, (team) -> Optional.of(QuotaPlay.this.quota), QuotaPlay.this.now)));
		}

		/**
		 * Creates a request that is delivered by the next call, when the node no longer
		 * waits for the answer.
		 */
		void delayOrDeliver() {
			if (this.delayed.isEmpty()) {
				this.delayed = this.leases.next(clock());
				return;
			}
			this.leader.grant(this.delayed.get(), (team) -> Optional.of(QuotaPlay.this.quota), QuotaPlay.this.now);
			this.delayed = Optional.empty();
		}

		QuotaAdmission.Kind attempt() {
			QuotaAdmission.Kind kind = this.leases.take(TEAM, clock()).kind();
			if (kind == QuotaAdmission.Kind.WAIT) {
				this.leases.waiting(TEAM, 1);
				request();
				kind = this.leases.take(TEAM, clock()).kind();
				this.leases.waiting(TEAM, -1);
			}
			if (kind == QuotaAdmission.Kind.ADMITTED) {
				use();
			}
			else {
				QuotaPlay.this.beyondQuota++;
			}
			return kind;
		}

	}

}
