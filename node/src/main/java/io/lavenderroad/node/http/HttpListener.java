package io.lavenderroad.node.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Comparator;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import io.lavenderroad.core.Clock;
import io.lavenderroad.model.CallerLimits;
import org.tinylog.Logger;

/**
 * Accepts HTTP/1.1 connections of callers, each served by its own virtual threads. Unlike
 * the HTTP server of the JDK, it notices when a caller disconnects while its request is
 * being handled.
 */
public final class HttpListener implements AutoCloseable {

	private static final int BACKLOG = 1_024;

	/**
	 * Maximum time in which a caller reads nothing of its answer. Twice the idle limit of
	 * ordinary clients; a window of a slow but moving reader opens more often.
	 */
	private static final long STALLED_READER_MILLIS = 30_000;

	/**
	 * Interval in which stalled readers are looked for.
	 */
	private static final long SWEEP_MILLIS = 1_000;

	/**
	 * Delay after a failed accept, for example when no file descriptors are left.
	 */
	private static final long ACCEPT_RETRY_DELAY_MILLIS = 50;

	private final ServerSocket server;

	private final Clock clock;

	private final Supplier<CallerLimits> limits;

	private final RequestHandler handler;

	private final CallerMemory memory;

	private final CallerRefusals refusals;

	private final long stalledReaderMillis;

	private final int maximumConnections;

	private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();

	/**
	 * Connections on which responses may still have to be written. A connection stays in
	 * here when its caller has ended its sending side.
	 */
	private final Set<HttpConnection> answering = ConcurrentHashMap.newKeySet();

	private volatile boolean draining;

	private HttpListener(Builder builder, ServerSocket server) {
		this.server = server;
		this.clock = builder.clock;
		this.limits = builder.limits;
		this.handler = Objects.requireNonNull(builder.handler, "handler");
		this.maximumConnections = builder.maximumConnections;
		this.memory = builder.memory;
		this.refusals = new CallerRefusals(builder.clock);
		this.stalledReaderMillis = builder.stalledReaderMillis;
	}

	/**
	 * Creates a builder.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Starts accepting connections.
	 */
	public void start() {
		Thread.ofVirtual().name("accept callers").start(this::acceptAll);
		Thread.ofVirtual().name("close stalled callers").start(this::closeStalled);
	}

	/**
	 * Returns the address on which the listener accepts connections.
	 * @return the bound address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.getLocalSocketAddress();
	}

	/**
	 * Starts draining: closes each connection after the responses to the requests that
	 * were read, so that callers connect elsewhere. New connections are still accepted.
	 */
	public void leave() {
		this.draining = true;
	}

	/**
	 * Stops accepting connections. Requests on open connections are still answered.
	 */
	public void stopAccepting() {
		leave();
		try {
			this.server.close();
		}
		catch (IOException ex) {
			Logger.debug("node: Closing the server socket for callers failed: {}.", ex.getMessage());
		}
	}

	/**
	 * Stops accepting and closes all connections immediately.
	 */
	@Override
	public void close() {
		stopAccepting();
		this.connections.forEach(HttpConnection::close);
	}

	/**
	 * Returns the number of requests that were read and whose responses are not written
	 * yet.
	 * @return count
	 */
	public int unansweredRequests() {
		return this.answering.stream().mapToInt(HttpConnection::unansweredRequests).sum();
	}

	/**
	 * Returns the number of connections whose requests are being read.
	 * @return count
	 */
	public int readingConnections() {
		return this.connections.size();
	}

	/**
	 * Returns the number of connections on which responses may still be written.
	 * @return count
	 */
	public int answeringConnections() {
		return this.answering.size();
	}

	/**
	 * Returns how much memory callers make the process hold.
	 * @return the number of bytes
	 */
	public long heldBytes() {
		return this.memory.usedBytes();
	}

	/**
	 * Returns the counts of refused requests and closed connections.
	 * @return the counts, which change while the listener runs
	 */
	public CallerRefusals refusals() {
		return this.refusals;
	}

	/**
	 * Returns the maximum number of open connections.
	 * @return count
	 */
	public int maximumConnections() {
		return this.maximumConnections;
	}

	boolean isDraining() {
		return this.draining;
	}

	CallerMemory memory() {
		return this.memory;
	}

	CallerLimits limits() {
		return this.limits.get();
	}

	Clock clock() {
		return this.clock;
	}

	RequestHandler handler() {
		return this.handler;
	}

	void remove(HttpConnection connection) {
		this.connections.remove(connection);
	}

	void removeAnswered(HttpConnection connection) {
		this.answering.remove(connection);
	}

	private void acceptAll() {
		while (!this.server.isClosed()) {
			try {
				awaitFreeConnection();
				accept(this.server.accept());
			}
			catch (IOException ex) {
				if (!this.server.isClosed()) {
					Logger.warn("node: Accepting a caller connection failed: {}.", ex.getMessage());
					pauseBeforeRetry();
				}
			}
		}
	}

	/**
	 * Waits while the maximum number of connections is open; callers then wait in the
	 * backlog of the socket. The connection that has been idle for longest is closed.
	 */
	private void awaitFreeConnection() {
		while (this.answering.size() >= this.maximumConnections && !this.server.isClosed()) {
			this.connections.stream()
				.filter((connection) -> connection.idleSinceMillis() != Long.MAX_VALUE)
				.min(Comparator.comparingLong(HttpConnection::idleSinceMillis))
				.ifPresent(HttpConnection::closeAsIdle);
			pauseBeforeRetry();
		}
	}

	private void closeStalled() {
		while (!this.server.isClosed() || !this.answering.isEmpty()) {
			long now = this.clock.millis();
			this.answering.forEach((connection) -> connection.closeIfStalled(now, this.stalledReaderMillis));
			pause(SWEEP_MILLIS);
		}
	}

	private void accept(Socket socket) throws IOException {
		HttpConnection connection = new HttpConnection(this, socket);
		this.connections.add(connection);
		this.answering.add(connection);
		connection.start();
	}

	private static void pauseBeforeRetry() {
		pause(ACCEPT_RETRY_DELAY_MILLIS);
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Builds {@link HttpListener}.
	 */
	public static final class Builder {

		private Clock clock = Clock.system();

		private Supplier<CallerLimits> limits = () -> CallerLimits.DEFAULT;

		private RequestHandler handler;

		private int maximumConnections = ConnectionLimit.ofProcess();

		private CallerMemory memory = CallerMemory.ofHeap();

		private long stalledReaderMillis = STALLED_READER_MILLIS;

		private Builder() {
		}

		/**
		 * Sets the clock.
		 * @param newClock the clock
		 * @return this builder
		 */
		public Builder clock(Clock newClock) {
			this.clock = newClock;
			return this;
		}

		/**
		 * Sets the source of the active limits, which may change.
		 * @param newLimits returns the active limits
		 * @return this builder
		 */
		public Builder limits(Supplier<CallerLimits> newLimits) {
			this.limits = newLimits;
			return this;
		}

		/**
		 * Sets the handler of requests.
		 * @param newHandler the handler
		 * @return this builder
		 */
		public Builder handler(RequestHandler newHandler) {
			this.handler = newHandler;
			return this;
		}

		/**
		 * Sets the budget for what callers make the process hold.
		 * @param budget the budget
		 * @return this builder
		 */
		public Builder memory(CallerMemory budget) {
			this.memory = budget;
			return this;
		}

		/**
		 * Sets the maximum time in which a caller reads nothing of its answer.
		 * @param millis the time in milliseconds
		 * @return this builder
		 */
		public Builder stalledReaderMillis(long millis) {
			this.stalledReaderMillis = millis;
			return this;
		}

		/**
		 * Sets the maximum number of open connections; further ones wait in the backlog.
		 * @param count the maximum
		 * @return this builder
		 */
		public Builder maximumConnections(int count) {
			this.maximumConnections = count;
			return this;
		}

		/**
		 * Binds the address and creates the listener, which accepts no connections before
		 * {@link HttpListener#start()}.
		 * @param address the address; port 0 selects a free port
		 * @return the listener
		 * @throws IOException if the address cannot be bound
		 */
		public HttpListener bind(InetSocketAddress address) throws IOException {
			ServerSocket server = new ServerSocket();
			server.setReuseAddress(true);
			server.bind(address, BACKLOG);
			return new HttpListener(this, server);
		}

	}

}
