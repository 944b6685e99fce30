package io.lavenderroad.node;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.departure.Departure;
import io.lavenderroad.policy.calls.Backoff;
import org.tinylog.Logger;

/**
 * Keeps the departures on this VM in a store outside of this process. One virtual thread
 * first reads those of earlier processes, then sends new ones. The lock guards the sets.
 */
final class DepartureKeeper implements DepartureLog, AutoCloseable {

	private static final Backoff RETRIES = new Backoff(50, 1_000);

	private static final long LOG_INTERVAL_MILLIS = 5_000;

	/**
	 * Maximum number of departures in each set. One backend server runs on a VM at a
	 * time.
	 */
	private static final int MAXIMUM_DEPARTURES = 16;

	private final Clock clock;

	private final RandomGenerator random;

	private final DepartureStore store;

	private final Consumer<List<Departure>> earlierDepartures;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final Set<Departure> waiting = new LinkedHashSet<>();

	private final Set<Departure> kept = new LinkedHashSet<>();

	private volatile boolean known;

	private Thread thread;

	/**
	 * Creates a keeper that is not started.
	 * @param clock source of time
	 * @param random source of randomness for the pauses between attempts
	 * @param store the store
	 * @param earlierDepartures receives the departures that earlier processes kept, once
	 */
	DepartureKeeper(Clock clock, RandomGenerator random, DepartureStore store,
			Consumer<List<Departure>> earlierDepartures) {
		this.clock = clock;
		this.random = random;
		this.store = store;
		this.earlierDepartures = earlierDepartures;
	}

	void start() {
		this.thread = Thread.ofVirtual().name("departures").start(this::run);
	}

	/**
	 * Adds the metrics of the node.
	 * @param metrics destination
	 */
	void register(NodeMetrics metrics) {
		metrics.gauge("departures_known", () -> this.known ? 1 : 0);
		metrics.gauge("departures_waiting", this::waitingCount);
	}

	@Override
	public boolean keep(Departure departure, long timeoutMillis) {
		this.lock.lock();
		try {
			if (this.kept.contains(departure)) {
				return true;
			}
			addLimited(this.waiting, departure);
			this.changed.signalAll();
			return awaitKept(departure, timeoutMillis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public void close() {
		if (this.thread != null) {
			this.thread.interrupt();
		}
	}

	private boolean awaitKept(Departure departure, long timeoutMillis) throws InterruptedException {
		long remainingNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		while (!this.kept.contains(departure) && remainingNanos > 0) {
			remainingNanos = this.changed.awaitNanos(remainingNanos);
		}
		return this.kept.contains(departure);
	}

	private void run() {
		try {
			List<Departure> earlier = read();
			earlier.forEach(this::kept);
			this.earlierDepartures.accept(earlier);
			this.known = true;
			while (true) {
				send(awaitWaiting());
			}
		}
		catch (InterruptedException ex) {
			Logger.debug("node: No more departures are kept; the node is stopping.");
		}
	}

	private List<Departure> read() throws InterruptedException {
		long startMillis = this.clock.millis();
		long loggedMillis = startMillis;
		Optional<List<Departure>> earlier = attemptRead();
		for (int attempt = 1; earlier.isEmpty(); attempt++) {
			Thread.sleep(RETRIES.pauseMillis(attempt, this.random));
			earlier = attemptRead();
			long now = this.clock.millis();
			if (earlier.isEmpty() && now - loggedMillis >= LOG_INTERVAL_MILLIS) {
				loggedMillis = now;
				Logger.warn("node: For {} ms no control member has said which backend servers have left this VM; "
						+ "no backend server is used until then.", now - startMillis);
			}
		}
		Logger.info("node: The departures on this VM are known after {} ms: {}.", this.clock.millis() - startMillis,
				earlier.get());
		return earlier.get();
	}

	private void send(Departure departure) throws InterruptedException {
		long startMillis = this.clock.millis();
		for (int attempt = 1; !attemptKeep(departure); attempt++) {
			Thread.sleep(RETRIES.pauseMillis(attempt, this.random));
		}
		Logger.info("node: The control group keeps {} after {} ms.", departure, this.clock.millis() - startMillis);
		kept(departure);
	}

	private Optional<List<Departure>> attemptRead() {
		try {
			return this.store.read();
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "node: Reading the departures failed unexpectedly.");
			return Optional.empty();
		}
	}

	private boolean attemptKeep(Departure departure) {
		try {
			return this.store.keep(departure);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "node: Keeping a departure failed unexpectedly.");
			return false;
		}
	}

	private Departure awaitWaiting() throws InterruptedException {
		this.lock.lockInterruptibly();
		try {
			while (this.waiting.isEmpty()) {
				this.changed.await();
			}
			return this.waiting.iterator().next();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void kept(Departure departure) {
		this.lock.lock();
		try {
			this.waiting.remove(departure);
			addLimited(this.kept, departure);
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	private int waitingCount() {
		this.lock.lock();
		try {
			return this.waiting.size();
		}
		finally {
			this.lock.unlock();
		}
	}

	private static void addLimited(Set<Departure> departures, Departure added) {
		departures.add(added);
		if (departures.size() > MAXIMUM_DEPARTURES) {
			Iterator<Departure> oldest = departures.iterator();
			oldest.next();
			oldest.remove();
		}
	}

}
