package io.lavenderroad.node;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.ConfigurationFreshness;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.policy.calls.AbsentRoute;
import io.lavenderroad.policy.calls.StartWait;

/**
 * Lets requests wait for a configuration: for the first confirmed one of a node that has
 * just started, or for one that may have the route that the present one lacks.
 */
final class AwaitedConfiguration {

	private static final long WORD_CHECK_MILLIS = 50;

	private final Clock clock;

	private final MeshView view;

	private final long startMillis;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	AwaitedConfiguration(Clock clock, MeshView view) {
		this.clock = clock;
		this.view = view;
		this.startMillis = clock.millis();
		view.onChange(this::signal);
	}

	/**
	 * Returns the configuration in force now.
	 * @return the configuration, empty before the first confirmed one
	 */
	Optional<MeshConfiguration> present() {
		return this.view.configuration();
	}

	/**
	 * Returns the configuration in force. Blocks while there is none and the request may
	 * wait for it.
	 * @param deadlineMillis time that the caller allows for the request
	 * @return the configuration, empty if there is still none
	 */
	Optional<MeshConfiguration> await(long deadlineMillis) {
		Optional<MeshConfiguration> present = present();
		if (present.isPresent()) {
			return present;
		}
		long waitMillis = StartWait.millis(this.clock.millis() - this.startMillis, deadlineMillis);
		return (waitMillis > 0) ? awaitChange(waitMillis) : present;
	}

	/**
	 * Returns a newer configuration than the one in which a request found no route.
	 * Blocks while the present one may be old and the request may wait.
	 * @param held the configuration without the route
	 * @param deadlineMillis time that the caller allows for the request
	 * @return the newer configuration, or the same one if none came
	 */
	MeshConfiguration awaitNewer(MeshConfiguration held, long deadlineMillis) {
		long end = this.clock.millis() + AbsentRoute.waitMillis(deadlineMillis);
		this.lock.lock();
		try {
			MeshConfiguration present = present().orElse(held);
			long leftMillis = end - this.clock.millis();
			while (present.version() <= held.version() && !isCertain(held) && leftMillis > 0) {
				// A word that there is nothing newer changes nothing that listeners hear
				// of.
				this.changed.await(Math.min(leftMillis, WORD_CHECK_MILLIS), TimeUnit.MILLISECONDS);
				present = present().orElse(held);
				leftMillis = end - this.clock.millis();
			}
			return present;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return held;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Tells whether a route that a configuration lacks does not exist.
	 * @param held the configuration
	 * @return false if a newer one may have the route
	 */
	boolean isCertain(MeshConfiguration held) {
		return AbsentRoute.isCertain(held.version(), freshness());
	}

	ConfigurationFreshness freshness() {
		return this.view.freshness();
	}

	private Optional<MeshConfiguration> awaitChange(long waitMillis) {
		this.lock.lock();
		try {
			long leftNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
			Optional<MeshConfiguration> present = this.view.configuration();
			while (present.isEmpty() && leftNanos > 0) {
				leftNanos = this.changed.awaitNanos(leftNanos);
				present = this.view.configuration();
			}
			return present;
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
