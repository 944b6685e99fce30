package io.lavenderroad.node;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.UnaryOperator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.departure.Departure;
import io.lavenderroad.policy.calls.Pace;
import org.tinylog.Logger;

/**
 * A local backend server that registers itself by announcements. It gets no requests
 * before its first announcement, nor after it has announced that it is leaving; leaving
 * takes effect immediately and is final until the backend server starts again. Late
 * announcements are ignored, unless {@link RunningServer} shows that they are not late,
 * and that an entry of another writer has taken the place of the backend server. A
 * deregistration ends a start for good, also if this node did not know the backend
 * server. A departure is acknowledged once it is in force and kept outside of this
 * process, and a backend server is used once those that earlier processes kept are known.
 * The lock guards all fields.
 */
public final class BackendRegistration implements LocalBackend {

	/**
	 * Share of the announcement timeout that must pass between two superseded
	 * announcements for both to count. The timeout spans several announcements.
	 */
	private static final int TIMEOUT_TO_MINIMUM_GAP = 8;

	/**
	 * How late an announcement may arrive, for example after a partition.
	 */
	static final long MAXIMUM_DELAY_MILLIS = 30_000;

	private final Clock clock;

	private final Clock timeOfDay;

	private final String service;

	private final long announcementTimeoutMillis;

	private final Announcer announcer;

	private final ReentrantLock lock = new ReentrantLock();

	private final RunningServer running;

	private final Departures departures;

	private final ColdPeriod coldPeriod;

	private final EarlyAnnouncements early = new EarlyAnnouncements();

	private final DepartureAcknowledgement acknowledgement = new DepartureAcknowledgement();

	private Runnable onLeaving = () -> {
	};

	private IntConsumer onSlotsAnnounced = (slots) -> {
	};

	private BackendAnnouncement current;

	private boolean deregistered;

	private boolean unresponsive;

	/**
	 * Set while an earlier start under the id of the current one has left after the last
	 * announcement of the current one.
	 */
	private boolean suspended;

	private boolean nodeLeaving;

	private long lastAnnouncementMillis;

	private EndpointState announcedState = EndpointState.DRAINING;

	/**
	 * Creates a registration without a backend server.
	 * @param clock source of time
	 * @param timeOfDay time of day, by which backend servers state their start
	 * @param service service that the local backend server must serve
	 * @param announcementTimeoutMillis time without an announcement after which the
	 * backend server gets no new requests
	 * @param announcer publishes the backend server to the mesh
	 */
	public BackendRegistration(Clock clock, Clock timeOfDay, String service, long announcementTimeoutMillis,
			Announcer announcer) {
		this.clock = clock;
		this.timeOfDay = timeOfDay;
		this.service = service;
		this.announcementTimeoutMillis = announcementTimeoutMillis;
		this.announcer = announcer;
		this.running = new RunningServer(announcementTimeoutMillis / TIMEOUT_TO_MINIMUM_GAP, MAXIMUM_DELAY_MILLIS);
		this.departures = new Departures(clock, MAXIMUM_DELAY_MILLIS);
		this.coldPeriod = new ColdPeriod(clock);
	}

	/**
	 * Applies an announcement. If the backend server leaves, that has taken effect when
	 * this method returns; otherwise the backend server is used as soon as the departures
	 * that earlier processes kept are known.
	 * @param announcement the announcement
	 * @return whether the announcement is acknowledged
	 */
	public AnnouncementOutcome announce(BackendAnnouncement announcement) {
		Optional<String> refusalReason = announcement.implausibility(this.timeOfDay.millis());
		if (refusalReason.isPresent()) {
			Logger.warn("node: Refused announcement {} of {}: {}.", announcement.sequence(), announcement.backendId(),
					refusalReason.get());
			return AnnouncementOutcome.refused(refusalReason.get());
		}
		if (!announcement.service().equals(this.service)) {
			Logger.warn("node: Ignored an announcement of {} for service {}; this node serves {}.",
					announcement.backendId(), announcement.service(), this.service);
			return AnnouncementOutcome.ACKNOWLEDGED;
		}
		this.lock.lock();
		try {
			applyNewer(announcement);
		}
		finally {
			this.lock.unlock();
		}
		return announcement.leaving() ? this.acknowledgement.acknowledge(departure(announcement))
				: AnnouncementOutcome.ACKNOWLEDGED;
	}

	private static Departure departure(BackendAnnouncement announcement) {
		return new Departure(announcement.backendId(), announcement.startedMillis(), Departure.Kind.DRAINING);
	}

	private void applyNewer(BackendAnnouncement announcement) {
		if (this.departures.contains(announcement)) {
			Logger.info("node: Ignored announcement {} of {} started at {}; that start has left.",
					announcement.sequence(), announcement.backendId(), announcement.startedMillis());
			if (this.running.goesOn(announcement, this.clock.millis())) {
				this.departures.removeDraining(announcement.backendId(), announcement.startedMillis());
			}
			if (this.departures.contains(announcement)) {
				return;
			}
			replaceCurrent(announcement);
			return;
		}
		if (announcement.leaving()) {
			this.departures.add(departure(announcement));
		}
		else if (!this.early.departuresKnown()) {
			this.early.add(announcement);
			return;
		}
		if (this.current == null || announcement.replaces(this.current)) {
			if (acceptsWork()) {
				this.running.replaced(this.current, announcement, this.clock.millis() - this.lastAnnouncementMillis);
			}
			else {
				this.running.current(announcement);
			}
			apply(announcement);
		}
		else if (announcement.leaving()) {
			leaveSuperseded(announcement);
		}
		else if (outlives(announcement)) {
			replaceCurrent(announcement);
		}
	}

	// Puts a departure in force although the current announcement seems to be newer. That
	// one may be an entry of another writer, or of a start before the time of day was set
	// back. A later start that is sound is used again with its next announcement.
	private void leaveSuperseded(BackendAnnouncement announcement) {
		if (!announcement.backendId().equals(this.current.backendId())) {
			return;
		}
		Logger.info("node: Backend server {} started at {} is leaving, announcement {}; the current one is {}.",
				announcement.backendId(), announcement.startedMillis(), announcement.sequence(),
				this.current.sequence());
		if (announcement.isOfSameStart(this.current)) {
			this.current = this.current.asLeaving();
			this.running.current(this.current);
		}
		else {
			this.suspended = true;
		}
		publish();
	}

	private void replaceCurrent(BackendAnnouncement announcement) {
		Logger.warn("node: Discarded announcement {} of {} started at {}; {} started at {} goes on announcing.",
				this.current.sequence(), this.current.backendId(), this.current.startedMillis(),
				announcement.backendId(), announcement.startedMillis());
		this.current = null;
		this.running.current(announcement);
		apply(announcement);
	}

	private boolean outlives(BackendAnnouncement announcement) {
		Logger.info("node: Ignored announcement {} of {} started at {}; superseded by {} of {} started at {}.",
				announcement.sequence(), announcement.backendId(), announcement.startedMillis(),
				this.current.sequence(), this.current.backendId(), this.current.startedMillis());
		return this.running.outlives(announcement, this.clock.millis(), this.lastAnnouncementMillis);
	}

	/**
	 * Deregisters a backend server at its own request. The start that it ends is not
	 * registered again, whether or not it was registered.
	 * @param backendId id of the backend server
	 * @param startedMillis start of the backend server in milliseconds since the epoch,
	 * if stated
	 * @return whether the deregistration is acknowledged
	 */
	public AnnouncementOutcome deregister(String backendId, OptionalLong startedMillis) {
		long latestStartMillis = this.timeOfDay.millis() + BackendAnnouncement.MAXIMUM_CLOCK_STEP_MILLIS;
		if (startedMillis.isPresent() && startedMillis.getAsLong() > latestStartMillis) {
			Logger.warn("node: Ignored the deregistration of {}; its start {} is in the future.", backendId,
					startedMillis.getAsLong());
			return AnnouncementOutcome.ACKNOWLEDGED;
		}
		Departure departure = recordDeregistration(backendId, startedMillis);
		if (isLaterStartUsed(departure)) {
			Logger.info("node: Did not acknowledge {}: a later start under this id is in use.", departure);
			return AnnouncementOutcome.unconfirmed("a later start is in use");
		}
		return this.acknowledgement.acknowledge(departure);
	}

	// Returns whether requests still reach the backend server that has deregistered, if
	// its start seems earlier than the current one since the time of day was set back.
	private boolean isLaterStartUsed(Departure departure) {
		this.lock.lock();
		try {
			return acceptsWork() && departure.backendId().equals(this.current.backendId());
		}
		finally {
			this.lock.unlock();
		}
	}

	private Departure recordDeregistration(String backendId, OptionalLong startedMillis) {
		this.lock.lock();
		try {
			this.running.left(backendId);
			boolean registered = this.current != null && this.current.backendId().equals(backendId)
					&& startedMillis.orElse(this.current.startedMillis()) >= this.current.startedMillis();
			if (!registered) {
				Logger.info("node: Recorded the deregistration of {}; it is not the registered backend server.",
						backendId);
				Departure departure = startedMillis.isPresent()
						? new Departure(backendId, startedMillis.getAsLong(), Departure.Kind.DEREGISTERED)
						: new Departure(backendId, this.timeOfDay.millis(), Departure.Kind.DEREGISTERED_WITHOUT_START);
				this.departures.add(departure);
				return departure;
			}
			Logger.info("node: Backend server {} has deregistered.", backendId);
			Departure departure = new Departure(backendId, startedMillis.orElse(this.current.startedMillis()),
					Departure.Kind.DEREGISTERED);
			this.departures.add(departure);
			this.deregistered = true;
			publish();
			return departure;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Makes departures outlive this process. From now on no backend server is used until
	 * {@link #departuresKnown(List)} has been called.
	 * @param log keeps departures
	 */
	void keepDepartures(DepartureLog log) {
		this.lock.lock();
		try {
			this.acknowledgement.keepIn(log);
			this.early.begin();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Records the departures that earlier processes on this VM kept, and applies the
	 * announcements that waited for them.
	 * @param earlier the departures
	 */
	void departuresKnown(List<Departure> earlier) {
		this.lock.lock();
		try {
			earlier.forEach(this.departures::add);
			this.early.end(this::applyNewer);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Sets the action that runs when the backend server stops accepting work.
	 * @param action the action; called with the lock held, must not block
	 */
	void onLeaving(Runnable action) {
		this.onLeaving = action;
	}

	/**
	 * Sets the receiver of the number of slots; called before an announcement is
	 * published to the mesh.
	 * @param receiver the receiver; called with the lock held, must not block
	 */
	void onSlotsAnnounced(IntConsumer receiver) {
		this.onSlotsAnnounced = receiver;
	}

	@Override
	public void onSetback(Consumer<Pace.Cause> receiver) {
		this.coldPeriod.onSetback(receiver);
	}

	@Override
	public EndpointState state() {
		this.lock.lock();
		try {
			return currentState();
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public boolean serves(String wantedService, String wantedVersion) {
		this.lock.lock();
		try {
			return acceptsWork() && this.current.service().equals(wantedService)
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
	public boolean isCold() {
		return this.coldPeriod.isCold();
	}

	/**
	 * Returns the remaining cold time that the backend server stated last.
	 * @return milliseconds, 0 if it is not cold or its remaining cold time is unknown
	 */
	public long remainingColdMillis() {
		return this.coldPeriod.remainingMillis();
	}

	@Override
	public void treatAsCold() {
		this.coldPeriod.assume();
	}

	@Override
	public void observeCold(long remainingMillis) {
		this.lock.lock();
		try {
			this.coldPeriod.observe(remainingMillis);
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
			this.nodeLeaving = true;
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
			if (!this.unresponsive && this.current != null) {
				Logger.warn("node: Backend server {} accepts no connections.", this.current.backendId());
				this.unresponsive = true;
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
			long age = this.clock.millis() - this.lastAnnouncementMillis;
			if (this.current != null && !this.unresponsive && age > this.announcementTimeoutMillis) {
				Logger.warn("node: Backend server {} has sent no announcement for {} ms.", this.current.backendId(),
						age);
				this.unresponsive = true;
			}
			publish();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void apply(BackendAnnouncement next) {
		boolean sameIncarnation = this.current != null && this.current.startedMillis() == next.startedMillis();
		boolean wasLeaving = sameIncarnation && this.current.leaving();
		boolean returns = this.unresponsive && this.current != null;
		boolean wasUnresponsive = this.unresponsive;
		BackendAnnouncement applied = wasLeaving ? next.asLeaving() : next;
		if (!sameIncarnation || applied.leaving() != this.current.leaving() || wasUnresponsive) {
			Logger.info("node: Backend server {} {} of {} started at {} is {}, announcement {}, {} slots.",
					applied.backendId(), applied.version(), applied.service(), applied.startedMillis(),
					applied.leaving() ? "leaving" : "ready", applied.sequence(), applied.slots());
		}
		this.current = applied;
		this.deregistered = this.deregistered && sameIncarnation;
		this.unresponsive = false;
		this.suspended = false;
		this.lastAnnouncementMillis = this.clock.millis();
		this.onSlotsAnnounced.accept(applied.slots());
		this.coldPeriod.announce(applied.remainingColdMillis(), sameIncarnation, returns);
		publish();
	}

	private boolean acceptsWork() {
		return this.current != null && !this.deregistered && !this.current.leaving() && !this.nodeLeaving
				&& !this.unresponsive && !this.suspended;
	}

	private EndpointState currentState() {
		if (!acceptsWork()) {
			return EndpointState.DRAINING;
		}
		return isCold() ? EndpointState.COLD : EndpointState.READY;
	}

	private void publish() {
		EndpointState state = currentState();
		boolean becomesUnavailable = this.announcedState.acceptsWork() && !state.acceptsWork();
		this.announcedState = state;
		if (becomesUnavailable) {
			this.onLeaving.run();
		}
		if (this.current == null) {
			return;
		}
		BackendAnnouncement backend = this.current;
		this.announcer
			.announce((endpoint) -> endpoint.withBackend(backend.service(), backend.version(), backend.slots())
				.withState(state));
	}

	/**
	 * Publishes the backend server to the mesh.
	 */
	@FunctionalInterface
	public interface Announcer {

		/**
		 * Updates the endpoint that this node announces. Nothing is sent if the endpoint
		 * stays the same.
		 * @param change maps the announced endpoint to the new one; must not block
		 */
		void announce(UnaryOperator<Endpoint> change);

	}

}
