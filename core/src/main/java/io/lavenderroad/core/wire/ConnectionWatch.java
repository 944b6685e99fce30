package io.lavenderroad.core.wire;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Looks at all connections of a process in turn. One task does so, since a task for each
 * connection would wake an idle node hundreds of times a second. It ends while there are
 * no connections.
 */
final class ConnectionWatch {

	private static final long CHECK_MILLIS = 500;

	private final ReentrantLock lock = new ReentrantLock();

	private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

	private boolean running;

	void add(Connection connection) {
		this.lock.lock();
		try {
			this.connections.add(connection);
			if (!this.running) {
				this.running = true;
				Thread.ofVirtual().name("connection watch").start(this::run);
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	private void run() {
		while (hasConnections()) {
			try {
				Thread.sleep(CHECK_MILLIS);
			}
			catch (InterruptedException ex) {
				// Nobody interrupts this task, and it must not end while it is needed.
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
