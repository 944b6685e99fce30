package io.lavenderroad.node;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.IntConsumer;
import java.util.function.UnaryOperator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import org.tinylog.Logger;

/**
 * The backend server beside a node as it announces itself. Nothing is passed on to it
 * before its first announcement, nor after it said that it leaves; both hold at once and
 * for the rest of that start. Late announcements of earlier starts change nothing. The
 * lock guards all fields.
 */
public final class BackendRegistration implements LocalBackend {

	private final Clock clock;

	private final String service;

	private final long silenceMillis;

	private final Announcer announcer;

	private final ReentrantLock lock = new ReentrantLock();

	private Runnable whenLeaving = () -> {
	};

	private IntConsumer whenAnnounced = (slots) -> {
	};

	private BackendAnnouncement current;

	private boolean gone;

	private boolean silent;

	private boolean nodeLeaves;

	private long heardMillis;

	private long coldUntilMillis;

	private EndpointState announced = EndpointState.DRAINING;

	/**
	 * Creates a registration without a backend server.
	 * @param clock source of time
	 * @param service service that a backend server beside this node serves
	 * @param silenceMillis silence after which the backend server gets no new work
	 * @param announcer announces the backend server to the mesh
	 */
	public BackendRegistration(Clock clock, String service, long silenceMillis, Announcer announcer) {
		this.clock = clock;
		this.service = service;
		this.silenceMillis = silenceMillis;
		this.announcer = announcer;
	}

	/**
	 * Takes an announcement. What it says is in force when this method returns.
	 * @param announcement the announcement
	 */
	public void announce(BackendAnnouncement announcement) {
		this.lock.lock();
		try {
			if (!announcement.service().equals(this.service)) {
				Logger.warn("node: Ignored an announcement of {} for service {}; this node serves {}.",
						announcement.backendId(), announcement.service(), this.service);
				return;
			}
			if (this.current != null && !announcement.replaces(this.current)) {
				Logger.info("node: Ignored announcement {} of {} started at {}; {} of {} started at {} is known.",
						announcement.sequence(), announcement.backendId(), announcement.bornMillis(),
						this.current.sequence(), this.current.backendId(), this.current.bornMillis());
				return;
			}
			take(announcement);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Takes the word of a backend server that it is gone.
	 * @param backendId its id
	 * @param bornMillis its start, if stated
	 */
	public void deregister(String backendId, OptionalLong bornMillis) {
		this.lock.lock();
		try {
			boolean same = this.current != null && this.current.backendId().equals(backendId)
					&& bornMillis.orElse(this.current.bornMillis()) >= this.current.bornMillis();
			if (!same) {
				Logger.info("node: Ignored that {} is gone; it is not the present backend server.", backendId);
				return;
			}
			Logger.info("node: Backend server {} is gone.", backendId);
			this.gone = true;
			publish();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Sets what is done when the backend server starts to leave.
	 * @param action runs with the lock held and must not block
	 */
	void whenLeaving(Runnable action) {
		this.whenLeaving = action;
	}

	/**
	 * Sets who is told the slots of the backend server, before the mesh hears of it.
	 * @param receiver runs with the lock held and must not block
	 */
	void whenAnnounced(IntConsumer receiver) {
		this.whenAnnounced = receiver;
	}

	@Override
	public EndpointState state() {
		this.lock.lock();
		try {
			return presentState();
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public boolean serves(String wantedService, String wantedVersion) {
		this.lock.lock();
		try {
			return takesWork() && this.current.service().equals(wantedService)
					&& this.current.version().equals(wantedVersion);
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public String backendId() {
		this.lock.lock();
		try {
			return Optional.ofNullable(this.current).map(BackendAnnouncement::backendId).orElse("");
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public boolean isHealthy() {
		return true;
	}

	@Override
	public int reportedRunning() {
		return 0;
	}

	@Override
	public void drain() {
		this.lock.lock();
		try {
			this.nodeLeaves = true;
			publish();
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public void unreachable() {
		this.lock.lock();
		try {
			if (!this.silent && this.current != null) {
				Logger.warn("node: Backend server {} accepts no connections.", this.current.backendId());
				this.silent = true;
				publish();
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public void poll() {
		this.lock.lock();
		try {
			long age = this.clock.millis() - this.heardMillis;
			if (this.current != null && !this.silent && age > this.silenceMillis) {
				Logger.warn("node: Backend server {} was silent for {} ms.", this.current.backendId(), age);
				this.silent = true;
			}
			publish();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void take(BackendAnnouncement next) {
		boolean sameStart = this.current != null && this.current.bornMillis() == next.bornMillis();
		boolean leftBefore = sameStart && this.current.leaving();
		boolean wasSilent = this.silent;
		BackendAnnouncement taken = leftBefore ? new BackendAnnouncement(next.backendId(), next.bornMillis(),
				next.sequence(), next.service(), next.version(), next.slots(), true, next.coldMillis()) : next;
		if (!sameStart || taken.leaving() != this.current.leaving() || wasSilent) {
			Logger.info("node: Backend server {} {} of {} started at {} is {}, announcement {}, {} slots.",
					taken.backendId(), taken.version(), taken.service(), taken.bornMillis(),
					taken.leaving() ? "leaving" : "ready", taken.sequence(), taken.slots());
		}
		this.current = taken;
		this.gone = this.gone && sameStart;
		this.silent = false;
		this.heardMillis = this.clock.millis();
		this.whenAnnounced.accept(taken.slots());
		this.coldUntilMillis = this.heardMillis + taken.coldMillis();
		publish();
	}

	private boolean takesWork() {
		return this.current != null && !this.gone && !this.current.leaving() && !this.nodeLeaves && !this.silent;
	}

	private EndpointState presentState() {
		if (!takesWork()) {
			return EndpointState.DRAINING;
		}
		return (this.clock.millis() < this.coldUntilMillis) ? EndpointState.COLD : EndpointState.READY;
	}

	private void publish() {
		EndpointState state = presentState();
		boolean leaves = this.announced.acceptsWork() && !state.acceptsWork();
		this.announced = state;
		if (leaves) {
			this.whenLeaving.run();
		}
		if (this.current == null) {
			return;
		}
		BackendAnnouncement shown = this.current;
		this.announcer.announce(
				(endpoint) -> endpoint.withBackend(shown.service(), shown.version(), shown.slots()).withState(state));
	}

	/**
	 * Announces the backend server to the mesh.
	 */
	@FunctionalInterface
	public interface Announcer {

		/**
		 * Changes the announcement of this node. Nothing is sent if nothing changes.
		 * @param change returns the endpoint as it is now; must not block
		 */
		void announce(UnaryOperator<Endpoint> change);

	}

}
