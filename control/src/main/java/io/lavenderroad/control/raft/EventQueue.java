package io.lavenderroad.control.raft;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.ReentrantLock;

import org.tinylog.Logger;

/**
 * Queue of callbacks that run one at a time, in the order in which they were added, on a
 * thread that holds no lock of the member.
 */
final class EventQueue {

	private final Queue<Runnable> events = new ConcurrentLinkedQueue<>();

	private final ReentrantLock running = new ReentrantLock();

	void add(Runnable event) {
		this.events.add(event);
	}

	/**
	 * Runs the queued callbacks unless another thread is doing so.
	 */
	void run() {
		while (!this.events.isEmpty() && !this.running.isHeldByCurrentThread() && this.running.tryLock()) {
			try {
				runAll();
			}
			finally {
				this.running.unlock();
			}
		}
	}

	private void runAll() {
		for (Runnable event = this.events.poll(); event != null; event = this.events.poll()) {
			try {
				event.run();
			}
			catch (RuntimeException ex) {
				Logger.error(ex, "control: A listener failed.");
			}
		}
	}

}
