package io.lavenderroad.node.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.core.Clock;

/**
 * Connections to one backend server that wait for their next request. The one used last
 * is taken first, so that the others grow old and are closed. The lock guards the idle
 * connections.
 */
public final class BackendPool implements AutoCloseable {

	/**
	 * Longest time that a connection waits for its next request, if the backend server
	 * states none.
	 */
	static final long IDLE_MILLIS = 4_000;

	/**
	 * Part of the stated keep-alive time that is used, so that this side closes first.
	 */
	private static final double KEEP_ALIVE_PART = 0.7;

	private final InetSocketAddress address;

	private final Clock clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final Deque<Idle> idle = new ArrayDeque<>();

	private boolean closed;

	/**
	 * Creates an empty pool.
	 * @param address where the backend server accepts connections
	 * @param clock source of time
	 */
	public BackendPool(InetSocketAddress address, Clock clock) {
		this.address = address;
		this.clock = clock;
	}

	/**
	 * Takes an idle connection.
	 * @return the connection, or null if a new one has to be opened
	 */
	BackendConnection takeIdle() {
		long now = this.clock.millis();
		for (Idle candidate = poll(); candidate != null; candidate = poll()) {
			if (now < candidate.untilMillis() && candidate.connection().isReusable()) {
				return candidate.connection();
			}
			candidate.connection().close();
		}
		return null;
	}

	BackendConnection open(int timeoutMillis) throws IOException {
		return BackendConnection.open(this.address, timeoutMillis);
	}

	/**
	 * Gives a connection back after its answer.
	 * @param connection the connection
	 * @param keepAliveMillis how long the backend server keeps it, 0 if unknown
	 */
	void giveBack(BackendConnection connection, long keepAliveMillis) {
		if (!connection.isReusable()) {
			connection.close();
			return;
		}
		long idleMillis = (keepAliveMillis > 0) ? (long) (keepAliveMillis * KEEP_ALIVE_PART) : IDLE_MILLIS;
		this.lock.lock();
		try {
			if (!this.closed) {
				this.idle.push(new Idle(connection, this.clock.millis() + idleMillis));
				return;
			}
		}
		finally {
			this.lock.unlock();
		}
		connection.close();
	}

	/**
	 * Closes connections that have waited too long, the oldest first.
	 */
	public void closeOld() {
		long now = this.clock.millis();
		this.lock.lock();
		try {
			while (!this.idle.isEmpty() && this.idle.peekLast().untilMillis() <= now) {
				this.idle.pollLast().connection().close();
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public void close() {
		this.lock.lock();
		try {
			this.closed = true;
			this.idle.forEach((entry) -> entry.connection().close());
			this.idle.clear();
		}
		finally {
			this.lock.unlock();
		}
	}

	private Idle poll() {
		this.lock.lock();
		try {
			return this.idle.poll();
		}
		finally {
			this.lock.unlock();
		}
	}

	private record Idle(BackendConnection connection, long untilMillis) {

	}

}
