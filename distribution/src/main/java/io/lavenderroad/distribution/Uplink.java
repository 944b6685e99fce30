package io.lavenderroad.distribution;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.WireOptions;
import io.lavenderroad.distribution.DistributionMessages.Accepted;
import io.lavenderroad.distribution.DistributionMessages.Attach;
import io.lavenderroad.distribution.DistributionMessages.Hop;
import io.lavenderroad.model.Endpoint;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Keeps a node attached to a parent. One virtual thread monitors the parent and searches
 * for another one; it is the only writer of the session.
 */
final class Uplink {

	private final Owner owner;

	private final WireOptions options;

	private final Clock clock;

	private final RandomGenerator random;

	private final Supplier<List<String>> seeds;

	private final Supplier<Endpoint> self;

	private final Backoff backoff;

	private final Semaphore signal = new Semaphore(0);

	private volatile ParentSession session;

	private volatile boolean closed;

	private List<Hop> lastPath = List.of();

	private List<Hop> deferredCandidates = List.of();

	private Hop lostParent;

	private long detachedSinceMillis;

	Uplink(Owner owner, WireOptions options, Clock clock, RandomGenerator random, Supplier<List<String>> seeds,
			Supplier<Endpoint> self) {
		this.owner = owner;
		this.options = options;
		this.clock = clock;
		this.random = random;
		this.seeds = seeds;
		this.self = self;
		this.backoff = new Backoff(random);
		this.detachedSinceMillis = clock.millis();
	}

	void start() {
		Thread.ofVirtual().name("uplink " + this.self.get().nodeId()).start(this::run);
	}

	Optional<ParentSession> session() {
		return Optional.ofNullable(this.session);
	}

	/**
	 * Triggers a check of the parent.
	 */
	void check() {
		this.signal.release();
	}

	void close(String reason) {
		this.closed = true;
		ParentSession last = this.session;
		if (last != null) {
			last.connection().close(reason);
		}
		check();
	}

	private void run() {
		try {
			while (!this.closed) {
				try {
					check(health());
				}
				catch (RuntimeException ex) {
					Logger.error(ex, "distribution: The search for a parent failed.");
					awaitSignal(this.backoff.nextMillis());
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void check(ParentHealth health) throws InterruptedException {
		switch (health) {
			case HEALTHY -> {
				this.backoff.reset();
				awaitSignal(TreeTimes.CHECK_MILLIS);
			}
			case REPLACE -> search();
			case LOST -> {
				detach();
				search();
			}
		}
	}

	private ParentHealth health() {
		ParentSession present = this.session;
		return (present != null) ? present.health(this.self.get().nodeId()) : ParentHealth.LOST;
	}

	private void detach() {
		ParentSession present = this.session;
		if (present == null) {
			return;
		}
		this.lastPath = present.path();
		this.lostParent = present.parent();
		this.session = null;
		this.detachedSinceMillis = this.clock.millis();
		Logger.info("distribution: Node {} lost its parent {}, connection {}.", this.self.get().nodeId(),
				this.lostParent.id(), present.describeContact());
		present.connection().close("parent " + this.lostParent.id() + " is lost");
	}

	private void search() throws InterruptedException {
		long waitMillis = this.backoff.nextMillis();
		sleep(waitMillis);
		if (this.closed) {
			return;
		}
		ParentSession present = this.session;
		if (present != null) {
			this.lastPath = present.path();
			this.lostParent = present.parent();
		}
		List<Hop> first = new ArrayList<>(this.deferredCandidates);
		first.addAll(TreePath.ancestors(this.lastPath));
		ParentCandidates candidates = new ParentCandidates(this.self.get().nodeId(), first, shuffledSeeds(),
				Optional.ofNullable(this.lostParent));
		ParentSearch search = new ParentSearch(this.self.get().nodeId(), this.clock, this::open, candidates,
				this::attach);
		if (search.run((found) -> attachTo(found, search.attemptCount()), () -> this.closed)) {
			this.deferredCandidates = List.of();
			this.backoff.reset();
		}
		else {
			this.lostParent = null;
			this.deferredCandidates = candidates.deferring();
			sleep(candidates.retryAfterMillis());
		}
	}

	private Either<CallFailure, Connection> open(String address) {
		try {
			return Connection.open(address(address), this.options, this.owner.handler()).peek(this.owner::opened);
		}
		catch (LavenderroadException ex) {
			// The address may come from a peer and may be malformed.
			return Either.left(new CallFailure(ExecutionVerdict.NOT_RUN, ex.getMessage()));
		}
	}

	private boolean attachTo(ParentSearch.AcceptedParent found, int attemptCount) {
		Accepted accepted = found.accepted();
		if (this.closed || accepted.path().isEmpty() || !TreePath.usable(accepted.path(), this.self.get().nodeId())
				|| accepted.rootAgeMillis() > TreeTimes.ROOT_AGE_LIMIT_MILLIS) {
			return false;
		}
		ParentSession previous = this.session;
		ParentSession next = new ParentSession(this.clock, found.connection(), accepted);
		this.session = next;
		if (this.closed) {
			return false;
		}
		this.lastPath = next.path();
		this.lostParent = null;
		long detachedMillis = (previous != null) ? 0 : this.clock.millis() - this.detachedSinceMillis;
		this.owner.parentFound(detachedMillis);
		Logger.info(
				"distribution: Node {} attached to parent {} at {} hops from a root after {} ms without one, {} tried.",
				this.self.get().nodeId(), next.parent().id(), next.path().size() - 1, detachedMillis, attemptCount);
		this.owner.attached(next);
		if (previous != null) {
			this.owner.replaced(previous);
		}
		return true;
	}

	private Attach attach(List<String> avoided) {
		Endpoint endpoint = this.self.get();
		return new Attach(endpoint.nodeId(), endpoint.incarnation(), endpoint.region(), endpoint.failureDomain(),
				endpoint.frameAddress(), avoided);
	}

	private List<String> shuffledSeeds() {
		List<String> shuffled = new ArrayList<>(this.seeds.get());
		Collections.shuffle(shuffled, Random.from(this.random));
		return shuffled;
	}

	private void awaitSignal(long millis) throws InterruptedException {
		if (this.signal.tryAcquire(millis, TimeUnit.MILLISECONDS)) {
			this.signal.drainPermits();
		}
	}

	private void sleep(long millis) throws InterruptedException {
		if (millis > 0 && !this.closed) {
			Thread.sleep(millis);
		}
	}

	/**
	 * Parses an address of the form {@code ip:port}.
	 * @param text the address
	 * @return the socket address
	 * @throws LavenderroadException if the text has another form
	 */
	static InetSocketAddress address(String text) {
		int colon = text.lastIndexOf(':');
		try {
			return new InetSocketAddress(InetAddress.ofLiteral(text.substring(0, Math.max(0, colon))),
					Integer.parseInt(text.substring(colon + 1)));
		}
		catch (IllegalArgumentException ex) {
			throw new LavenderroadException("address '" + text + "' is not of the form ip:port", ex);
		}
	}

	/**
	 * Callbacks to the node that owns the uplink.
	 */
	interface Owner {

		ConnectionHandler handler();

		void opened(Connection connection);

		/**
		 * Called when a search has found a parent.
		 * @param millis time without a parent
		 */
		void parentFound(long millis);

		/**
		 * Called when a new session has begun.
		 * @param session the session
		 */
		void attached(ParentSession session);

		/**
		 * Called when a new session has replaced another one, which is still open.
		 * @param session the old session
		 */
		void replaced(ParentSession session);

	}

}
