package io.lavenderroad.node;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.policy.calls.StartWait;

/**
 * Lets requests wait for the first confirmed configuration of a node that has just
 * started.
 */
final class FirstConfiguration {

	private final Clock clock;

	private final MeshView view;

	private final long startMillis;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	FirstConfiguration(Clock clock, MeshView view) {
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
