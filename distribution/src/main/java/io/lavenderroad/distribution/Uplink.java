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
 * Keeps a node attached to a parent. One virtual thread watches the parent and searches
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

	private List<Hop> comeBack = List.of();

	private Hop lostParent;

	private long aloneSinceMillis;

	Uplink(Owner owner, WireOptions options, Clock clock, RandomGenerator random, Supplier<List<String>> seeds,
			Supplier<Endpoint> self) {
		this.owner = owner;
		this.options = options;
		this.clock = clock;
		this.random = random;
		this.seeds = seeds;
		this.self = self;
		this.backoff = new Backoff(random);
		this.aloneSinceMillis = clock.millis();
	}

	void start() {
		Thread.ofVirtual().name("uplink " + this.self.get().nodeId()).start(this::run);
	}

	Optional<ParentSession> session() {
		return Optional.ofNullable(this.session);
	}

	/**
	 * Lets the watcher look at the parent now.
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
					pause(this.backoff.nextMillis());
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void check(ParentHealth health) throws InterruptedException {
		switch (health) {
			case GOOD -> {
				this.backoff.reset();
				pause(TreeTimes.CHECK_MILLIS);
			}
			case MOVE -> search();
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
		this.aloneSinceMillis = this.clock.millis();
		Logger.info("distribution: Node {} lost its parent {}, {}.", this.self.get().nodeId(), this.lostParent.id(),
				present.describeSilence());
		present.connection().close("parent " + this.lostParent.id() + " is lost");
	}

	private void search() throws InterruptedException {
		long waitMillis = this.backoff.nextMillis();
		pauseFully(waitMillis);
		if (this.closed) {
			return;
		}
		ParentSession present = this.session;
		if (present != null) {
			this.lastPath = present.path();
			this.lostParent = present.parent();
		}
		List<Hop> first = new ArrayList<>(this.comeBack);
		first.addAll(TreePath.ancestors(this.lastPath));
		ParentCandidates candidates = new ParentCandidates(this.self.get().nodeId(), first, shuffledSeeds(),
				Optional.ofNullable(this.lostParent));
		ParentSearch search = new ParentSearch(this.self.get().nodeId(), this.clock, this::open, candidates,
				this::attach);
		if (search.run((found) -> use(found, search.tried()), () -> this.closed)) {
			this.comeBack = List.of();
			this.backoff.reset();
		}
		else {
			this.lostParent = null;
			this.comeBack = candidates.deferring();
			pauseFully(candidates.retryAfterMillis());
		}
	}

	private Either<CallFailure, Connection> open(String address) {
		try {
			return Connection.open(address(address), this.options, this.owner.handler()).peek(this.owner::opened);
		}
		catch (LavenderroadException ex) {
			// A peer named the address, so it may be anything.
			return Either.left(new CallFailure(ExecutionVerdict.NOT_RUN, ex.getMessage()));
		}
	}

	private boolean use(ParentSearch.Found found, int tried) {
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
		long aloneMillis = (previous != null) ? 0 : this.clock.millis() - this.aloneSinceMillis;
		this.owner.searched(aloneMillis);
		Logger.info("distribution: Node {} has parent {} at {} hops from a root after {} ms without one, {} tried.",
				this.self.get().nodeId(), next.parent().id(), next.path().size() - 1, aloneMillis, tried);
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

	private void pause(long millis) throws InterruptedException {
		if (this.signal.tryAcquire(millis, TimeUnit.MILLISECONDS)) {
			this.signal.drainPermits();
		}
	}

	private void pauseFully(long millis) throws InterruptedException {
		if (millis > 0 && !this.closed) {
			Thread.sleep(millis);
		}
	}

	/**
	 * Reads {@code ip:port}.
	 * @param text the address
	 * @return the socket address
	 * @throws LavenderroadException if the text is no address
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
	 * The node that has the uplink.
	 */
	interface Owner {

		ConnectionHandler handler();

		void opened(Connection connection);

		/**
		 * A search for a parent has ended.
		 * @param millis time without a parent
		 */
		void searched(long millis);

		/**
		 * A new session has begun.
		 * @param session the session
		 */
		void attached(ParentSession session);

		/**
		 * A new session has replaced this one, which is still open.
		 * @param session the old session
		 */
		void replaced(ParentSession session);

	}

}
