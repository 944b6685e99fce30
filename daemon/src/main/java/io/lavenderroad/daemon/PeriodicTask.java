package io.lavenderroad.daemon;

import org.tinylog.Logger;

/**
 * Repeats an action on a dedicated virtual thread until it is closed. A failed run is
 * logged, and the action runs again after the period.
 */
final class PeriodicTask implements AutoCloseable {

	private final Thread thread;

	private PeriodicTask(Thread thread) {
		this.thread = thread;
	}

	static PeriodicTask start(String name, long periodMillis, Runnable action) {
		return new PeriodicTask(Thread.ofVirtual().name(name).start(() -> repeat(name, periodMillis, action)));
	}

	@Override
	public void close() {
		this.thread.interrupt();
	}

	private static void repeat(String name, long periodMillis, Runnable action) {
		while (!Thread.currentThread().isInterrupted()) {
			try {
				Thread.sleep(periodMillis);
				action.run();
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (RuntimeException ex) {
				Logger.error(ex, "daemon: Periodic task {} failed.", name);
			}
		}
	}

}
