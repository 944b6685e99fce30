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
 * Keeps a request with an idempotency key from running twice. Before a call runs, its
 * node writes a claim at the nodes of the service that rank first for the key, one after
 * the other, so that two calls with the same key meet at the first node that both know. A
 * node that joins, or is about to leave, stores claims but does not count as a holder;
 * the search goes on to the next ones. Holders copy records to the nodes that rank first
 * after each change of the membership.
 */
final class KeyLedger {

	/**
	 * Copies of each record. See docs/decisions/0005-idempotency-keys.md.
	 */
	static final int COPIES = 2;

	/**
	 * Longer than an announcement needs to reach every node (3 s), so that all nodes know
	 * a joined holder before it counts.
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
	 * Guards the state of copying: one transfer at a time.
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
	 * @param deadlineMillis when the answer is due
	 * @return the claim, to be settled with the outcome; or the answer of the first run,
	 * or why the call must not run
	 */
	Either<CallAnswer, Claim> claim(CallRequest request, long deadlineMillis) {
		KeyClaim claim = new KeyClaim(KeyDigest.ofKey(request), KeyDigest.ofContent(request), this.self.nodeId(),
				this.self.incarnation(), this.attempts.incrementAndGet());
		List<Endpoint> ranked = ranked(claim.key(), members());
		Claim held = new Claim(claim);
		int counted = 0;
		int lost = 0;
		for (Endpoint holder : ranked) {
			if (counted == Math.min(this.copies, ranked.size())) {
				break;
			}
			long remaining = deadlineMillis - this.clock.millis();
			if (remaining <= 0) {
				return refuse(held, HttpStatus.GATEWAY_TIMEOUT, "deadline passed while the key was claimed");
			}
			Either<CallFailure, KeyMessages.ClaimResult> result = claimAt(holder, claim, remaining);
			if (result.isLeft()) {
				lost++;
				if (result.getLeft().verdict() != ExecutionVerdict.NOT_RUN) {
					held.holders.add(holder);
				}
				if (lost >= this.copies) {
					// All copies of an earlier record may be at these holders.
					return refuse(held, HttpStatus.UNAVAILABLE, "holders of the idempotency key cannot be reached");
				}
				continue;
			}
			KeyRecord record = result.get().record();
			if (record == null) {
				return refuse(held, HttpStatus.UNAVAILABLE, "ledger of idempotency keys is full");
			}
			if (!claim.wrote(record)) {
				held.settle(CallAnswer.notRun(HttpStatus.CONFLICT, ""));
				return Either.left(earlier(claim, record));
			}
			held.holders.add(holder);
			counted += result.get().counts() ? 1 : 0;
		}
		if (held.holders.isEmpty()) {
			return refuse(held, HttpStatus.UNAVAILABLE, "no holder of idempotency keys is known");
		}
		return Either.right(held);
	}

	/**
	 * Answers a message of another node.
	 * @param request a message of {@link KeyMessages}
	 * @return the answer, or empty if the message is not a request of this protocol
	 */
	Optional<Object> answer(Object request) {
		long now = this.clock.millis();
		return switch (request) {
			case KeyMessages.ClaimKey message -> Optional.of(claimHere(message.claim()));
			case KeyMessages.SettleKey message -> {
				this.store.settle(message.claim(), message.outcome(), now);
				yield Optional.of(new KeyMessages.Stored(true));
			}
			case KeyMessages.PullKeys message -> Optional.of(batchFor(message.nodeId(), message.after(), now));
			case KeyMessages.KeyRecords message -> {
				boolean complete = true;
				for (KeyRecord record : message.records()) {
					complete &= this.store.merge(aged(record, now), now);
				}
				yield Optional.of(new KeyMessages.Stored(complete));
			}
			default -> Optional.empty();
		};
	}

	/**
	 * Pulls records after a start and copies records after a change of the membership.
	 * Called once a second; blocks on the network.
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
	 * Stops counting as a holder. Claims are still answered.
	 */
	void leave() {
		this.leaving = true;
	}

	/**
	 * Hands all records to the nodes that rank first without this one.
	 * @return true if every record was taken over
	 */
	boolean handOver() {
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
	 * Tells whether this node counts as a holder.
	 * @return true after it has joined and before it leaves
	 */
	boolean counts() {
		return this.joined && !this.leaving;
	}

	private Either<CallFailure, KeyMessages.ClaimResult> claimAt(Endpoint holder, KeyClaim claim, long remaining) {
		if (isSelf(holder)) {
			return Either.right(claimHere(claim));
		}
		return this.transport.call(holder, new KeyMessages.ClaimKey(claim), Math.min(remaining, CLAIM_TIMEOUT_MILLIS),
				KeyMessages.ClaimResult.class);
	}

	private KeyMessages.ClaimResult claimHere(KeyClaim claim) {
		// Read before the claim: a holder that starts to leave now is not counted.
		boolean countsNow = counts();
		KeyRecord record = this.store.claim(claim, this.clock.millis()).orElse(null);
		if (record != null && record.state() == KeyState.RUNNING && !claim.wrote(record) && isGone(record.claim())) {
			record = new KeyRecord(record.claim(), KeyState.UNKNOWN, null, record.createdMillis());
		}
		return new KeyMessages.ClaimResult(countsNow, record);
	}

	private Either<CallAnswer, Claim> refuse(Claim held, int status, String reason) {
		held.settle(CallAnswer.notRun(status, reason));
		return Either.left(CallAnswer.notRun(status, reason));
	}

	private static CallAnswer earlier(KeyClaim claim, KeyRecord record) {
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

	// The claimant is gone when its node is no longer announced or has started again.
	private boolean isGone(KeyClaim claim) {
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
			// The newcomer may not be known here yet; only its id matters for the rank.
			members.add(new Endpoint(nodeId, 0, 0, EndpointState.COLD, this.self.service(), "", "", "", "", 1, 1, ""));
		}
		List<KeyRecord> batch = this.store.batch(after, BATCH_BYTES,
				(record) -> isHolder(record.claim().key(), members, nodeId));
		return new KeyMessages.KeyRecords(batch.stream().map((record) -> aged(record, nowMillis)).toList());
	}

	private void join(List<Endpoint> members, long nowMillis) {
		boolean known = false;
		boolean complete = true;
		for (Endpoint member : members) {
			if (isSelf(member)) {
				known = true;
			}
			else if (!this.pulledFrom.contains(process(member))) {
				complete &= pull(member);
			}
		}
		if (known && complete && nowMillis - this.startMillis >= JOIN_MILLIS) {
			this.joined = true;
			this.pulledFrom.clear();
			Logger.info("node: Holds idempotency keys of {} now, {} records taken over.", this.self.service(),
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
				this.pulledFrom.add(process(member));
				return true;
			}
			long now = this.clock.millis();
			records.forEach((record) -> this.store.merge(aged(record, now), now));
			after = records.getLast().claim().key();
		}
	}

	// Sends each record to the nodes that hold it with these members and did not before.
	private boolean copy(List<Endpoint> members) {
		List<Endpoint> before = this.replicatedTo;
		boolean complete = true;
		Map<String, Endpoint> targets = new HashMap<>();
		members.stream().filter((member) -> !isSelf(member)).forEach((member) -> targets.put(member.nodeId(), member));
		for (Endpoint target : targets.values()) {
			boolean wasThere = before.stream().anyMatch((member) -> process(member).equals(process(target)));
			complete &= push(target, members, wasThere ? before : List.of());
		}
		return complete;
	}

	private boolean push(Endpoint target, List<Endpoint> members, List<Endpoint> before) {
		KeyDigest after = KeyDigest.LOWEST;
		while (true) {
			List<KeyRecord> batch = this.store.batch(after, BATCH_BYTES,
					(record) -> isHolder(record.claim().key(), members, target.nodeId())
							&& !isHolder(record.claim().key(), before, target.nodeId()));
			if (batch.isEmpty()) {
				return true;
			}
			long now = this.clock.millis();
			KeyMessages.KeyRecords message = new KeyMessages.KeyRecords(
					batch.stream().map((record) -> aged(record, now)).toList());
			boolean stored = this.transport.call(target, message, TRANSFER_TIMEOUT_MILLIS, KeyMessages.Stored.class)
				.map(KeyMessages.Stored::complete)
				.getOrElse(false);
			if (!stored) {
				return false;
			}
			after = batch.getLast().claim().key();
		}
	}

	// One more copy than needed stays, for calls whose node does not know the change yet.
	private void dropUnneeded(List<Endpoint> members) {
		if (this.leaving) {
			return;
		}
		this.store.removeIf((record) -> {
			List<Endpoint> ranked = ranked(record.claim().key(), members);
			boolean here = ranked.stream().limit(this.copies + 1L).anyMatch(this::isSelf);
			return !here && record.state() != KeyState.RUNNING && ranked.size() > this.copies;
		});
	}

	private boolean isHolder(KeyDigest key, List<Endpoint> members, String nodeId) {
		long weight = key.weight(nodeId);
		int before = 0;
		boolean member = false;
		for (Endpoint endpoint : members) {
			if (endpoint.nodeId().equals(nodeId)) {
				member = true;
			}
			else if (key.weight(endpoint.nodeId()) > weight) {
				before++;
			}
		}
		return member && before < this.copies;
	}

	private static List<Endpoint> ranked(KeyDigest key, List<Endpoint> members) {
		List<Endpoint> ranked = new ArrayList<>(members);
		ranked.sort(Comparator.comparingLong((Endpoint member) -> key.weight(member.nodeId())).reversed());
		return ranked;
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
		return first.stream().map(KeyLedger::process).toList().equals(second.stream().map(KeyLedger::process).toList());
	}

	private static String process(Endpoint endpoint) {
		return endpoint.nodeId() + "/" + endpoint.incarnation();
	}

	// Turns a creation time into an age or back, on the clock of this node.
	private static KeyRecord aged(KeyRecord record, long nowMillis) {
		return record.withCreatedMillis(nowMillis - record.createdMillis());
	}

	/**
	 * The right to run one call, written at its holders.
	 */
	final class Claim {

		private final KeyClaim claim;

		private final Set<Endpoint> holders = new HashSet<>();

		private Claim(KeyClaim claim) {
			this.claim = claim;
		}

		/**
		 * Records the outcome at the holders, and at those that rank first now. Returns
		 * when each one has confirmed or had one chance to; the rest is tried again in
		 * the background.
		 * @param outcome the outcome; "not run" gives the key back
		 */
		void settle(CallAnswer outcome) {
			Set<Endpoint> targets = new HashSet<>(this.holders);
			if (outcome.verdict() != ExecutionVerdict.NOT_RUN) {
				ranked(this.claim.key(), members()).stream().limit(KeyLedger.this.copies).forEach((member) -> {
					if (targets.stream().noneMatch((target) -> process(target).equals(process(member)))) {
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
			List<Endpoint> left = new ArrayList<>(missed);
			for (int attempt = 0; attempt < SETTLE_ATTEMPTS && !left.isEmpty(); attempt++) {
				try {
					Thread.sleep(CLAIM_TIMEOUT_MILLIS << attempt);
				}
				catch (InterruptedException ex) {
					return;
				}
				left.removeIf((target) -> settleAt(target, outcome));
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
