package io.lavenderroad.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.MeshView;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Prevents a request with an idempotency key from running twice. Before a call runs, its
 * node records a claim at the holders of the key: the nodes of the service with the
 * largest rendezvous weights for the key, one after the other, so that two calls with the
 * same key conflict at the first node that both have in their view. A node that is
 * joining or leaving stores claims but does not count as a holder, and the claim
 * continues with the next nodes. After each change of the membership, holders copy their
 * records to the nodes that now have the largest weights.
 */
final class KeyLedger {

	/**
	 * Number of holders of each record. See docs/decisions/0005-idempotency-keys.md.
	 */
	static final int COPIES = 2;

	/**
	 * Minimum time from the start of a node until it counts as a holder. Longer than an
	 * announcement needs to reach every node (3 s), so that all nodes have the new holder
	 * in their view before it counts.
	 */
	static final long JOIN_MILLIS = 5_000;

	private static final long CLAIM_TIMEOUT_MILLIS = 500;

	private static final long TRANSFER_TIMEOUT_MILLIS = 2_000;

	private static final int SETTLE_ATTEMPTS = 5;

	private static final int BATCH_BYTES = 256 * 1024;

	private final Clock clock;

	private final MeshView view;

	private final Endpoint self;

	private final KeyStore store;

	private final KeyTransport transport;

	private final int copies;

	private final long startMillis;

	private final AtomicLong attempts = new AtomicLong();

	/**
	 * Guards the transfer state; only one transfer runs at a time.
	 */
	private final ReentrantLock transferLock = new ReentrantLock();

	private final Set<String> pulledFrom = new HashSet<>();

	private List<Endpoint> replicatedTo = List.of();

	private volatile boolean joined;

	private volatile boolean leaving;

	KeyLedger(Clock clock, MeshView view, Endpoint self, KeyStore store, KeyTransport transport, int copies) {
		this.clock = clock;
		this.view = view;
		this.self = self;
		this.store = store;
		this.transport = transport;
		this.copies = copies;
		this.startMillis = clock.millis();
	}

	/**
	 * Claims the key of a call that is about to run at this node.
	 * @param request the call
	 * @param deadlineMillis deadline of the call, clock reading in milliseconds
	 * @return the claim, to be settled with the outcome; otherwise the answer of the
	 * first run or a refusal
	 */
	Either<CallAnswer, Claim> claim(CallRequest request, long deadlineMillis) {
		KeyClaim claim = new KeyClaim(KeyDigest.ofKey(request), KeyDigest.ofContent(request), this.self.nodeId(),
				this.self.incarnation(), this.attempts.incrementAndGet());
		List<Endpoint> byWeight = byWeight(claim.key(), members());
		Claim pending = new Claim(claim);
		int counted = 0;
		int failed = 0;
		for (Endpoint holder : byWeight) {
			if (counted == Math.min(this.copies, byWeight.size())) {
				break;
			}
			long remaining = deadlineMillis - this.clock.millis();
			if (remaining <= 0) {
				return refuse(pending, HttpStatus.GATEWAY_TIMEOUT, "deadline passed while the key was claimed");
			}
			Either<CallFailure, KeyMessages.ClaimResult> result = claimAt(holder, claim, remaining);
			if (result.isLeft()) {
				failed++;
				if (result.getLeft().verdict() != ExecutionVerdict.NOT_RUN) {
					pending.holders.add(holder);
				}
				if (failed >= this.copies) {
					// The holders that failed may have all copies of an earlier record.
					return refuse(pending, HttpStatus.UNAVAILABLE, "holders of the idempotency key cannot be reached");
				}
				continue;
			}
			KeyRecord record = result.get().record();
			if (record == null) {
				return refuse(pending, HttpStatus.UNAVAILABLE, "ledger of idempotency keys is full");
			}
			if (!claim.owns(record)) {
				pending.settle(CallAnswer.notRun(HttpStatus.CONFLICT, ""));
				return Either.left(answerOf(claim, record));
			}
			pending.holders.add(holder);
			counted += result.get().activeHolder() ? 1 : 0;
		}
		if (pending.holders.isEmpty()) {
			return refuse(pending, HttpStatus.UNAVAILABLE, "no holder of idempotency keys is known");
		}
		return Either.right(pending);
	}

	/**
	 * Answers a message of another node.
	 * @param request a message of {@link KeyMessages}
	 * @return the answer, or empty if the message is not a request of this protocol
	 */
	Optional<Object> answer(Object request) {
		long now = this.clock.millis();
		return switch (request) {
			case KeyMessages.ClaimKey message -> Optional.of(claimLocally(message.claim()));
			case KeyMessages.SettleKey message -> {
				this.store.settle(message.claim(), message.outcome(), now);
				yield Optional.of(new KeyMessages.Stored(true));
			}
			case KeyMessages.PullKeys message -> Optional.of(batchFor(message.nodeId(), message.after(), now));
			case KeyMessages.KeyRecords message -> {
				boolean complete = true;
				for (KeyRecord record : message.records()) {
					complete &= this.store.merge(convertCreationTime(record, now), now);
				}
				yield Optional.of(new KeyMessages.Stored(complete));
			}
			default -> Optional.empty();
		};
	}

	/**
	 * Pulls records after the start of this node and copies records after a change of the
	 * membership. Called once a second; blocks on the network.
	 */
	void maintain() {
		this.transferLock.lock();
		try {
			long now = this.clock.millis();
			this.store.expire(now);
			List<Endpoint> members = members();
			if (!this.joined) {
				join(members, now);
			}
			if (!sameNodes(members, this.replicatedTo) && copy(members)) {
				this.replicatedTo = members;
				dropUnneeded(members);
			}
		}
		finally {
			this.transferLock.unlock();
		}
	}

	/**
	 * Stops this node from counting as a holder. It still answers claims.
	 */
	void leave() {
		this.leaving = true;
	}

	/**
	 * Transfers all records to the nodes that are their holders without this one.
	 * @return true if every record was stored there
	 */
	boolean transferRecords() {
		this.transferLock.lock();
		try {
			List<Endpoint> others = members().stream().filter((member) -> !isSelf(member)).toList();
			return others.isEmpty() || copy(others);
		}
		finally {
			this.transferLock.unlock();
		}
	}

	/**
	 * Returns whether this node counts as a holder.
	 * @return true after it has joined and before it leaves
	 */
	boolean isActiveHolder() {
		return this.joined && !this.leaving;
	}

	private Either<CallFailure, KeyMessages.ClaimResult> claimAt(Endpoint holder, KeyClaim claim, long remaining) {
		if (isSelf(holder)) {
			return Either.right(claimLocally(claim));
		}
		return this.transport.call(holder, new KeyMessages.ClaimKey(claim), Math.min(remaining, CLAIM_TIMEOUT_MILLIS),
				KeyMessages.ClaimResult.class);
	}

	private KeyMessages.ClaimResult claimLocally(KeyClaim claim) {
		// Read before the claim is stored, so that a node that is joining or leaving at
		// this point does not count as a holder.
		boolean activeNow = isActiveHolder();
		KeyRecord record = this.store.claim(claim, this.clock.millis()).orElse(null);
		if (record != null && record.state() == KeyState.RUNNING && !claim.owns(record)
				&& hasTerminated(record.claim())) {
			record = new KeyRecord(record.claim(), KeyState.UNKNOWN, null, record.createdMillis());
		}
		return new KeyMessages.ClaimResult(activeNow, record);
	}

	private Either<CallAnswer, Claim> refuse(Claim pending, int status, String reason) {
		pending.settle(CallAnswer.notRun(status, reason));
		return Either.left(CallAnswer.notRun(status, reason));
	}

	private static CallAnswer answerOf(KeyClaim claim, KeyRecord record) {
		if (!record.claim().content().equals(claim.content())) {
			return CallAnswer.notRun(HttpStatus.CONFLICT, "idempotency key was used for a different request");
		}
		return switch (record.state()) {
			case DONE -> record.answer().repeated();
			case DONE_WITHOUT_ANSWER -> CallAnswer.mayHaveRun(HttpStatus.CONFLICT,
					"first run with this idempotency key ended, but its answer is not kept");
			case RUNNING ->
				CallAnswer.mayHaveRun(HttpStatus.CONFLICT, "first run with this idempotency key has not ended");
			case UNKNOWN ->
				CallAnswer.mayHaveRun(HttpStatus.CONFLICT, "first run with this idempotency key has an unknown result");
		};
	}

	// The process of the claimant has terminated if its node is no longer announced or
	// has a later incarnation.
	private boolean hasTerminated(KeyClaim claim) {
		if (claim.claimant().equals(this.self.nodeId())) {
			return claim.incarnation() != this.self.incarnation();
		}
		for (Endpoint endpoint : this.view.endpoints(this.self.service())) {
			if (endpoint.nodeId().equals(claim.claimant())) {
				return endpoint.incarnation() > claim.incarnation();
			}
		}
		return true;
	}

	private KeyMessages.KeyRecords batchFor(String nodeId, KeyDigest after, long nowMillis) {
		List<Endpoint> members = new ArrayList<>(members());
		if (members.stream().noneMatch((member) -> member.nodeId().equals(nodeId))) {
			// The joining node may not be in the view of this node yet; only its id
			// affects the weights.
			members.add(new Endpoint(nodeId, 0, 0, EndpointState.COLD, this.self.service(), "", "", "", "", 1, 1, ""));
		}
		List<KeyRecord> batch = this.store.batch(after, BATCH_BYTES,
				(record) -> isHolder(record.claim().key(), members, nodeId));
		return new KeyMessages.KeyRecords(
				batch.stream().map((record) -> convertCreationTime(record, nowMillis)).toList());
	}

	private void join(List<Endpoint> members, long nowMillis) {
		boolean listed = false;
		boolean complete = true;
		for (Endpoint member : members) {
			if (isSelf(member)) {
				listed = true;
			}
			else if (!this.pulledFrom.contains(incarnationId(member))) {
				complete &= pull(member);
			}
		}
		if (listed && complete && nowMillis - this.startMillis >= JOIN_MILLIS) {
			this.joined = true;
			this.pulledFrom.clear();
			Logger.info("node: Joined the holders of idempotency keys of {} with {} records.", this.self.service(),
					this.store.size());
		}
	}

	private boolean pull(Endpoint member) {
		KeyDigest after = KeyDigest.LOWEST;
		while (true) {
			Either<CallFailure, KeyMessages.KeyRecords> batch = this.transport.call(member,
					new KeyMessages.PullKeys(this.self.nodeId(), after), TRANSFER_TIMEOUT_MILLIS,
					KeyMessages.KeyRecords.class);
			if (batch.isLeft()) {
				return false;
			}
			List<KeyRecord> records = batch.get().records();
			if (records.isEmpty()) {
				this.pulledFrom.add(incarnationId(member));
				return true;
			}
			long now = this.clock.millis();
			records.forEach((record) -> this.store.merge(convertCreationTime(record, now), now));
			after = records.getLast().claim().key();
		}
	}

	// Sends each record to the nodes that hold it among these members and did not among
	// the previous ones.
	private boolean copy(List<Endpoint> members) {
		List<Endpoint> previous = this.replicatedTo;
		boolean complete = true;
		Map<String, Endpoint> targets = new HashMap<>();
		members.stream().filter((member) -> !isSelf(member)).forEach((member) -> targets.put(member.nodeId(), member));
		for (Endpoint target : targets.values()) {
			boolean wasMember = previous.stream()
				.anyMatch((member) -> incarnationId(member).equals(incarnationId(target)));
			complete &= push(target, members, wasMember ? previous : List.of());
		}
		return complete;
	}

	private boolean push(Endpoint target, List<Endpoint> members, List<Endpoint> previous) {
		KeyDigest after = KeyDigest.LOWEST;
		while (true) {
			List<KeyRecord> batch = this.store.batch(after, BATCH_BYTES,
					(record) -> isHolder(record.claim().key(), members, target.nodeId())
							&& !isHolder(record.claim().key(), previous, target.nodeId()));
			if (batch.isEmpty()) {
				return true;
			}
			long now = this.clock.millis();
			KeyMessages.KeyRecords message = new KeyMessages.KeyRecords(
					batch.stream().map((record) -> convertCreationTime(record, now)).toList());
			boolean stored = this.transport.call(target, message, TRANSFER_TIMEOUT_MILLIS, KeyMessages.Stored.class)
				.map(KeyMessages.Stored::complete)
				.getOrElse(false);
			if (!stored) {
				return false;
			}
			after = batch.getLast().claim().key();
		}
	}

	// Keeps one copy more than required, for calls from nodes that have not seen the
	// change of the membership yet.
	private void dropUnneeded(List<Endpoint> members) {
		if (this.leaving) {
			return;
		}
		this.store.removeIf((record) -> {
			List<Endpoint> byWeight = byWeight(record.claim().key(), members);
			boolean kept = byWeight.stream().limit(this.copies + 1L).anyMatch(this::isSelf);
			return !kept && record.state() != KeyState.RUNNING && byWeight.size() > this.copies;
		});
	}

	private boolean isHolder(KeyDigest key, List<Endpoint> members, String nodeId) {
		long weight = key.weight(nodeId);
		int larger = 0;
		boolean member = false;
		for (Endpoint endpoint : members) {
			if (endpoint.nodeId().equals(nodeId)) {
				member = true;
			}
			else if (key.weight(endpoint.nodeId()) > weight) {
				larger++;
			}
		}
		return member && larger < this.copies;
	}

	private static List<Endpoint> byWeight(KeyDigest key, List<Endpoint> members) {
		List<Endpoint> byWeight = new ArrayList<>(members);
		byWeight.sort(Comparator.comparingLong((Endpoint member) -> key.weight(member.nodeId())).reversed());
		return byWeight;
	}

	private List<Endpoint> members() {
		List<Endpoint> members = new ArrayList<>();
		for (Endpoint endpoint : this.view.endpoints(this.self.service())) {
			if (endpoint.state().acceptsWork()) {
				members.add(endpoint);
			}
		}
		return members;
	}

	private boolean isSelf(Endpoint endpoint) {
		return endpoint.nodeId().equals(this.self.nodeId());
	}

	private static boolean sameNodes(List<Endpoint> first, List<Endpoint> second) {
		return first.stream()
			.map(KeyLedger::incarnationId)
			.toList()
			.equals(second.stream().map(KeyLedger::incarnationId).toList());
	}

	private static String incarnationId(Endpoint endpoint) {
		return endpoint.nodeId() + "/" + endpoint.incarnation();
	}

	// Converts a creation time on the clock of this node to an age, or an age to a
	// creation time.
	private static KeyRecord convertCreationTime(KeyRecord record, long nowMillis) {
		return record.withCreatedMillis(nowMillis - record.createdMillis());
	}

	/**
	 * The claim of one call at the holders of its key; once granted, the call may run.
	 */
	final class Claim {

		private final KeyClaim claim;

		private final Set<Endpoint> holders = new HashSet<>();

		private Claim(KeyClaim claim) {
			this.claim = claim;
		}

		/**
		 * Records the outcome at the nodes that stored the claim and at the current
		 * holders. Returns after one attempt at each node; failed ones are retried in the
		 * background.
		 * @param outcome the outcome; "not run" releases the key
		 */
		void settle(CallAnswer outcome) {
			Set<Endpoint> targets = new HashSet<>(this.holders);
			if (outcome.verdict() != ExecutionVerdict.NOT_RUN) {
				byWeight(this.claim.key(), members()).stream().limit(KeyLedger.this.copies).forEach((member) -> {
					if (targets.stream().noneMatch((target) -> incarnationId(target).equals(incarnationId(member)))) {
						targets.add(member);
					}
				});
			}
			List<Thread> threads = new ArrayList<>();
			List<Endpoint> missed = Collections.synchronizedList(new ArrayList<>());
			for (Endpoint target : targets) {
				if (isSelf(target)) {
					KeyLedger.this.store.settle(this.claim, outcome, KeyLedger.this.clock.millis());
				}
				else {
					threads.add(Thread.ofVirtual().start(() -> {
						if (!settleAt(target, outcome)) {
							missed.add(target);
						}
					}));
				}
			}
			join(threads);
			if (!missed.isEmpty()) {
				Thread.ofVirtual().start(() -> settleLater(List.copyOf(missed), outcome));
			}
		}

		private boolean settleAt(Endpoint target, CallAnswer outcome) {
			return KeyLedger.this.transport
				.call(target, new KeyMessages.SettleKey(this.claim, outcome), CLAIM_TIMEOUT_MILLIS,
						KeyMessages.Stored.class)
				.isRight();
		}

		private void settleLater(List<Endpoint> missed, CallAnswer outcome) {
			List<Endpoint> unconfirmed = new ArrayList<>(missed);
			for (int attempt = 0; attempt < SETTLE_ATTEMPTS && !unconfirmed.isEmpty(); attempt++) {
				try {
					Thread.sleep(CLAIM_TIMEOUT_MILLIS << attempt);
				}
				catch (InterruptedException ex) {
					return;
				}
				unconfirmed.removeIf((target) -> settleAt(target, outcome));
			}
		}

		private static void join(List<Thread> threads) {
			try {
				for (Thread thread : threads) {
					thread.join();
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
