package io.lavenderroad.node.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.core.Clock;

/**
 * Pool of idle connections to one backend server. The most recently used connection is
 * taken first, so that surplus connections expire and are closed. The lock guards the
 * idle connections and the closed flag.
 */
public final class BackendPool implements AutoCloseable {

	/**
	 * Idle timeout of a connection if the backend server states no keep-alive time.
	 */
	static final long DEFAULT_IDLE_MILLIS = 4_000;

	/**
	 * Fraction of the stated keep-alive time after which an idle connection expires. It
	 * is below 1 so that the node closes the connection before the backend server does.
	 */
	private static final double KEEP_ALIVE_FRACTION = 0.7;

	private final InetSocketAddress address;

	private final Clock clock;

	private final ReentrantLock lock = new ReentrantLock();

	private final Deque<IdleConnection> idle = new ArrayDeque<>();

	private boolean closed;

	/**
	 * Creates an empty pool.
	 * @param address address of the backend server
	 * @param clock source of time
	 */
	public BackendPool(InetSocketAddress address, Clock clock) {
		this.address = address;
		this.clock = clock;
	}

	/**
	 * Takes an idle connection.
	 * @param request request that is to be sent on it
	 * @return the connection, or null if a new one has to be opened
	 */
	BackendConnection takeIdle(BackendRequest request) {
		long now = this.clock.millis();
		for (IdleConnection candidate = pollIdle(); candidate != null; candidate = pollIdle()) {
			if (now < candidate.expiresAtMillis() && candidate.connection().isReusableFor(request)) {
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
	 * Returns a connection to the pool after its response.
	 * @param connection the connection
	 * @param keepAliveMillis keep-alive time that the backend server states, 0 if unknown
	 */
	void release(BackendConnection connection, long keepAliveMillis) {
		if (!connection.isReusable()) {
			connection.close();
			return;
		}
		long idleMillis = (keepAliveMillis > 0) ? (long) (keepAliveMillis * KEEP_ALIVE_FRACTION) : DEFAULT_IDLE_MILLIS;
		this.lock.lock();
		try {
			if (!this.closed) {
				this.idle.push(new IdleConnection(connection, this.clock.millis() + idleMillis));
				return;
			}
		}
		finally {
			this.lock.unlock();
		}
		connection.close();
	}

	/**
	 * Closes expired connections, the least recently used first.
	 */
	public void closeOld() {
		long now = this.clock.millis();
		this.lock.lock();
		try {
			while (!this.idle.isEmpty() && this.idle.peekLast().expiresAtMillis() <= now) {
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

	private IdleConnection pollIdle() {
		this.lock.lock();
		try {
			return this.idle.poll();
		}
		finally {
			this.lock.unlock();
		}
	}

	private record IdleConnection(BackendConnection connection, long expiresAtMillis) {

	}

}
