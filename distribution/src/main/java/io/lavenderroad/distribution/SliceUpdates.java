package io.lavenderroad.distribution;

import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.distribution.ActiveConfiguration.Outcome;
import io.lavenderroad.distribution.DistributionMessages.Advance;
import io.lavenderroad.distribution.DistributionMessages.Delta;
import io.lavenderroad.distribution.DistributionMessages.WholeSlice;
import org.tinylog.Logger;

/**
 * Applies the updates from the parent sequentially on a separate thread, so that a large
 * update does not delay the reading of heartbeats.
 */
final class SliceUpdates {

	private final String nodeId;

	private final Clock clock;

	private final ActiveConfiguration active;

	private final DistributionMetrics metrics;

	private final Owner owner;

	private final ExecutorService executor = Executors
		.newSingleThreadExecutor(Thread.ofVirtual().name("apply").factory());

	private volatile boolean wholeRequested;

	private volatile RejectedVersion rejected;

	SliceUpdates(String nodeId, Clock clock, ActiveConfiguration active, DistributionMetrics metrics, Owner owner) {
		this.nodeId = nodeId;
		this.clock = clock;
		this.active = active;
		this.metrics = metrics;
		this.owner = owner;
	}

	/**
	 * Queues an update, which is applied after the earlier ones.
	 * @param session session that it came from
	 * @param update a whole slice, a delta or an advance
	 */
	void add(ParentSession session, DistributionMessage update) {
		try {
			this.executor.execute(() -> apply(session, update));
		}
		catch (RejectedExecutionException ex) {
			Logger.debug("distribution: Node {} is closed.", this.nodeId);
		}
	}

	/**
	 * Records whether the last subscription requested the whole slice.
	 * @param requested whether a whole slice of the active version may replace it
	 */
	void wholeRequested(boolean requested) {
		this.wholeRequested = requested;
	}

	/**
	 * Returns the version that was rejected last, unless a version was activated since.
	 * @return the version with the reason
	 */
	Optional<RejectedVersion> rejected() {
		return Optional.ofNullable(this.rejected);
	}

	void close() {
		this.executor.shutdown();
	}

	private void apply(ParentSession session, DistributionMessage update) {
		if (!this.owner.isCurrent(session)) {
			return;
		}
		long startMillis = this.clock.millis();
		try {
			applyNow(session, update);
			this.metrics.applied(this.clock.millis() - startMillis);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "distribution: Node {} failed to apply an update.", this.nodeId);
			session.connection().close("update failed: " + ex.getMessage());
		}
	}

	private void applyNow(ParentSession session, DistributionMessage update) {
		switch (update) {
			case WholeSlice slice -> {
				Outcome outcome = this.active.offer(slice.configuration(), slice.digest(), slice.everything(),
						this.wholeRequested);
				this.wholeRequested = false;
				handleOutcome(session, outcome, slice.configuration().version(), true);
			}
			case Delta delta ->
				handleOutcome(session, this.active.offer(delta.delta()), delta.delta().toVersion(), false);
			case Advance advance -> handleOutcome(session,
					this.active.offerAdvance(advance.fromVersion(), advance.toVersion()), advance.toVersion(), false);
			default -> throw new LavenderroadException("unexpected " + update.getClass().getSimpleName());
		}
	}

	private void handleOutcome(ParentSession session, Outcome outcome, long version, boolean whole) {
		switch (outcome.result()) {
			case ACTIVATED -> {
				this.rejected = null;
				this.owner.activated(version);
			}
			case IGNORED -> Logger.debug("distribution: Node {} ignored version {}.", this.nodeId, version);
			case BASE_MISMATCH -> this.owner.subscribe(session, true, false);
			case DIGEST_MISMATCH -> {
				if (whole) {
					reject(version, "digest of the whole slice differs from the stated one");
				}
				else {
					this.owner.subscribe(session, false, true);
				}
			}
			case REJECTED -> reject(version, outcome.reason());
		}
	}

	private void reject(long version, String reason) {
		Logger.warn("distribution: Node {} rejected version {}: {}.", this.nodeId, version, reason);
		this.rejected = new RejectedVersion(this.nodeId, version, reason);
	}

	/**
	 * Node that receives the updates.
	 */
	interface Owner {

		/**
		 * Returns whether a session is the current one.
		 * @param session the session
		 * @return false if another one has replaced it
		 */
		boolean isCurrent(ParentSession session);

		/**
		 * Subscribes again.
		 * @param session session with the parent
		 * @param namesGiven whether the names of the services are listed
		 * @param whole whether the whole slice is requested
		 */
		void subscribe(ParentSession session, boolean namesGiven, boolean whole);

		/**
		 * Called when a version has become active.
		 * @param version the version
		 */
		void activated(long version);

	}

}
