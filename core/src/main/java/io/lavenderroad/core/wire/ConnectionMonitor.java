package io.lavenderroad.core.wire;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Checks the health of all connections of a process periodically. A single task checks
 * them, since one task for each connection would wake an idle node hundreds of times a
 * second. The task ends when there are no connections and starts again with the next one.
 */
final class ConnectionMonitor {

	private static final long CHECK_INTERVAL_MILLIS = 500;

	private final ReentrantLock lock = new ReentrantLock();

	private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

	private boolean running;

	void add(Connection connection) {
		this.lock.lock();
		try {
			this.connections.add(connection);
			if (!this.running) {
				this.running = true;
				Thread.ofVirtual().name("connection monitor").start(this::run);
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	private void run() {
		while (hasConnections()) {
			try {
				Thread.sleep(CHECK_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				// No code interrupts this thread, and the task must continue while there
				// are connections.
				continue;
			}
			this.connections.removeIf((connection) -> !connection.isOpen());
			this.connections.forEach(Connection::check);
		}
	}

	private boolean hasConnections() {
		this.lock.lock();
		try {
			this.running = !this.connections.isEmpty();
			return this.running;
		}
		finally {
			this.lock.unlock();
		}
	}

}
