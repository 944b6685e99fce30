package io.lavenderroad.node;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.Team;
import io.lavenderroad.policy.quota.QuotaAdmission;
import io.lavenderroad.policy.quota.QuotaGrant;
import io.lavenderroad.policy.quota.QuotaLeases;
import io.lavenderroad.policy.quota.QuotaRequest;
import org.tinylog.Logger;

/**
 * Admits requests with the tokens that the node leases from the leader. One virtual
 * thread sends the requests for tokens.
 */
final class QuotaClient implements QuotaGate, AutoCloseable {

	/**
	 * A request waits for a token for at most this part of its remaining time, so that
	 * enough is left to run it.
	 */
	private static final int WAIT_DIVISOR = 8;

	private static final long UNREACHABLE_RETRY_MILLIS = 1_000;

	/**
	 * Interval at which used tokens and expected demand are examined.
	 */
	private static final long POLL_MILLIS = 50;

	private static final long IDLE_POLL_MILLIS = 1_000;

	private static final long LOG_INTERVAL_MILLIS = 10_000;

	private final Clock clock;

	private final LeaderSearch search;

	private final AtomicLong admitted = new AtomicLong();

	private final AtomicLong beyondQuota = new AtomicLong();

	private final AtomicLong withoutLeader = new AtomicLong();

	private final AtomicLong requests = new AtomicLong();

	/**
	 * Guards the leases.
	 */
	private final ReentrantLock lock = new ReentrantLock();

	private final Condition work = this.lock.newCondition();

	private final Condition answered = this.lock.newCondition();

	private final QuotaLeases leases;

	private long loggedMillis = Long.MIN_VALUE / 2;

	private Thread thread;

	QuotaClient(Clock clock, QuotaLeases leases, LeaderSearch search) {
		this.clock = clock;
		this.leases = leases;
		this.search = search;
	}

	void start() {
		this.thread = Thread.ofVirtual().name("quota").start(this::run);
	}

	/**
	 * Adds the metrics of the node.
	 * @param metrics destination
	 */
	void register(NodeMetrics metrics) {
		metrics.gauge("quota_admitted_total", this.admitted::get);
		metrics.gauge("quota_refused_total", this.beyondQuota::get);
		metrics.gauge("quota_without_leader_total", this.withoutLeader::get);
		metrics.gauge("quota_requests_total", this.requests::get);
	}

	@Override
	public Optional<QuotaRefusal> admit(Team team, long deadlineMillis) {
		if (team.quota().isEmpty()) {
			return Optional.empty();
		}
		long now = this.clock.millis();
		long end = now + Math.min(LeaderSearch.TIMEOUT_MILLIS, (deadlineMillis - now) / WAIT_DIVISOR);
		QuotaAdmission admission = takeOrWait(team.name(), end);
		return switch (admission.kind()) {
			case ADMITTED -> {
				this.admitted.incrementAndGet();
				yield Optional.empty();
			}
			case BEYOND_QUOTA -> {
				this.beyondQuota.incrementAndGet();
				yield Optional.of(new QuotaRefusal(HttpStatus.TOO_MANY_REQUESTS,
						"team '" + team.name() + "' is beyond its quota", admission.retryAfterMillis()));
			}
			default -> {
				this.withoutLeader.incrementAndGet();
				yield Optional.of(new QuotaRefusal(HttpStatus.UNAVAILABLE,
						"no leader grants quota to team '" + team.name() + "'", UNREACHABLE_RETRY_MILLIS));
			}
		};
	}

	@Override
	public void giveBack(Team team) {
		if (team.quota().isEmpty()) {
			return;
		}
		this.lock.lock();
		try {
			this.leases.giveBack(team.name());
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

	private QuotaAdmission takeOrWait(String team, long endMillis) {
		this.lock.lock();
		try {
			boolean wasIdle = this.leases.isIdle();
			QuotaAdmission admission = this.leases.take(team, this.clock.millis());
			if (admission.kind() != QuotaAdmission.Kind.WAIT) {
				if (wasIdle) {
					this.work.signal();
				}
				return admission;
			}
			this.leases.waiting(team, 1);
			try {
				this.work.signal();
				return await(team, endMillis);
			}
			finally {
				this.leases.waiting(team, -1);
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	private QuotaAdmission await(String team, long endMillis) {
		QuotaAdmission admission = this.leases.take(team, this.clock.millis());
		long remaining = endMillis - this.clock.millis();
		while (admission.kind() == QuotaAdmission.Kind.WAIT && remaining > 0) {
			try {
				boolean signalled = this.answered.await(remaining, TimeUnit.MILLISECONDS);
				Logger.trace("node: A request waits for quota, signalled {}.", signalled);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return admission;
			}
			admission = this.leases.take(team, this.clock.millis());
			remaining = endMillis - this.clock.millis();
		}
		return admission;
	}

	private void run() {
		while (!Thread.currentThread().isInterrupted()) {
			try {
				QuotaRequest request = awaitRequest();
				this.requests.incrementAndGet();
				apply(this.search.send(request));
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (RuntimeException ex) {
				Logger.error(ex, "node: Request for quota failed unexpectedly.");
				apply(Optional.empty());
			}
		}
	}

	private QuotaRequest awaitRequest() throws InterruptedException {
		this.lock.lockInterruptibly();
		try {
			Optional<QuotaRequest> request = this.leases.next(this.clock.millis());
			while (request.isEmpty()) {
				long pauseMillis = this.leases.isIdle() ? IDLE_POLL_MILLIS : POLL_MILLIS;
				boolean signalled = this.work.await(pauseMillis, TimeUnit.MILLISECONDS);
				Logger.trace("node: Examining quota, signalled {}.", signalled);
				request = this.leases.next(this.clock.millis());
			}
			return request.get();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void apply(Optional<QuotaGrant> grant) {
		this.lock.lock();
		try {
			long now = this.clock.millis();
			boolean wasWithoutLeader = this.leases.isWithoutLeader();
			grant.ifPresentOrElse((received) -> this.leases.granted(received, now), () -> this.leases.failed(now));
			if (wasWithoutLeader != this.leases.isWithoutLeader()) {
				logContact(now);
			}
			this.answered.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void logContact(long nowMillis) {
		if (nowMillis - this.loggedMillis >= LOG_INTERVAL_MILLIS) {
			this.loggedMillis = nowMillis;
			Logger.info("node: {}.", this.leases.isWithoutLeader() ? "No leader grants quota to teams"
					: "A leader grants quota to teams again");
		}
	}

}
