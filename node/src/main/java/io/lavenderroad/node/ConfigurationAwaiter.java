package io.lavenderroad.node;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.ConfigurationFreshness;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.policy.calls.MissingRouteDecision;
import io.lavenderroad.policy.calls.StartupWait;

/**
 * Lets requests wait for a configuration: for the first confirmed one after the start of
 * the node, or for a newer one that may contain a missing route.
 */
final class ConfigurationAwaiter {

	private static final long FRESHNESS_POLL_MILLIS = 50;

	private final Clock clock;

	private final MeshView view;

	private final long startMillis;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	ConfigurationAwaiter(Clock clock, MeshView view) {
		this.clock = clock;
		this.view = view;
		this.startMillis = clock.millis();
		view.onChange(this::signal);
	}

	/**
	 * Returns the active configuration without waiting.
	 * @return the configuration, empty before the first confirmed one
	 */
	Optional<MeshConfiguration> current() {
		return this.view.configuration();
	}

	/**
	 * Returns the active configuration. Blocks while there is none and the request may
	 * wait for it.
	 * @param deadlineMillis timeout of the caller for the request
	 * @return the configuration, empty if there is still none
	 */
	Optional<MeshConfiguration> await(long deadlineMillis) {
		Optional<MeshConfiguration> current = current();
		if (current.isPresent()) {
			return current;
		}
		long waitMillis = StartupWait.millis(this.clock.millis() - this.startMillis, deadlineMillis);
		return (waitMillis > 0) ? awaitChange(waitMillis) : current;
	}

	/**
	 * Returns a newer configuration than the one in which no route was found. Blocks
	 * while the active one may be outdated and the request may wait.
	 * @param searched the configuration without the route
	 * @param deadlineMillis timeout of the caller for the request
	 * @return the newer configuration, or the given one if none arrived
	 */
	MeshConfiguration awaitNewer(MeshConfiguration searched, long deadlineMillis) {
		long end = this.clock.millis() + MissingRouteDecision.waitMillis(deadlineMillis);
		this.lock.lock();
		try {
			MeshConfiguration current = current().orElse(searched);
			long leftMillis = end - this.clock.millis();
			while (current.version() <= searched.version() && !isCertain(searched) && leftMillis > 0) {
				// Listeners are not notified of a confirmation that no newer version
				// exists, so the freshness is polled.
				this.changed.await(Math.min(leftMillis, FRESHNESS_POLL_MILLIS), TimeUnit.MILLISECONDS);
				current = current().orElse(searched);
				leftMillis = end - this.clock.millis();
			}
			return current;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return searched;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns whether a route that is missing from a configuration is certain not to
	 * exist.
	 * @param searched the configuration
	 * @return false if a newer configuration may have the route
	 */
	boolean isCertain(MeshConfiguration searched) {
		return MissingRouteDecision.isCertain(searched.version(), freshness());
	}

	ConfigurationFreshness freshness() {
		return this.view.freshness();
	}

	private Optional<MeshConfiguration> awaitChange(long waitMillis) {
		this.lock.lock();
		try {
			long leftNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
			Optional<MeshConfiguration> current = this.view.configuration();
			while (current.isEmpty() && leftNanos > 0) {
				leftNanos = this.changed.awaitNanos(leftNanos);
				current = this.view.configuration();
			}
			return current;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void signal() {
		this.lock.lock();
		try {
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

}
