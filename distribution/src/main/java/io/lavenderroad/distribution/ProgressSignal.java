package io.lavenderroad.distribution;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;

/**
 * Wakes tasks that wait until a version is active on nodes.
 */
final class ProgressSignal {

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	/**
	 * Lets all waiting tasks check their condition again.
	 */
	void changed() {
		this.lock.lock();
		try {
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits until a condition holds.
	 * @param condition condition that may change with each call of {@link #changed()}
	 * @param timeoutMillis maximum wait
	 * @return whether the condition holds
	 */
	boolean await(BooleanSupplier condition, long timeoutMillis) {
		this.lock.lock();
		try {
			long remainingNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
			while (!condition.getAsBoolean() && remainingNanos > 0) {
				remainingNanos = this.changed.awaitNanos(remainingNanos);
			}
			return condition.getAsBoolean();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		finally {
			this.lock.unlock();
		}
	}

}
