package io.lavenderroad.node.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
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
	 * Maximum size of all request bodies that are being read at the same time.
	 */
	private static final long MAXIMUM_TOTAL_BODY_BYTES = 16L * 1024 * 1024;

	/**
	 * Delay after a failed accept, for example when no file descriptors are left.
	 */
	private static final long ACCEPT_RETRY_DELAY_MILLIS = 50;

	private final ServerSocket server;

	private final Clock clock;

	private final Supplier<CallerLimits> limits;

	private final RequestHandler handler;

	private final BodyMemoryBudget bodyMemory = new BodyMemoryBudget(MAXIMUM_TOTAL_BODY_BYTES);

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
	 * Returns the total size of the request bodies that are being read.
	 * @return the number of bytes
	 */
	public long bodyBytes() {
		return this.bodyMemory.reservedBytes();
	}

	boolean isDraining() {
		return this.draining;
	}

	BodyMemoryBudget bodyMemory() {
		return this.bodyMemory;
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

	private void accept(Socket socket) throws IOException {
		if (this.connections.size() >= this.maximumConnections) {
			Logger.warn("node: Closed a new caller connection, because the maximum of {} connections is open.",
					this.maximumConnections);
			socket.close();
			return;
		}
		HttpConnection connection = new HttpConnection(this, socket);
		this.connections.add(connection);
		this.answering.add(connection);
		connection.start();
	}

	private static void pauseBeforeRetry() {
		try {
			Thread.sleep(ACCEPT_RETRY_DELAY_MILLIS);
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

		private int maximumConnections = 2_000;

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
		 * Sets the maximum number of open connections; further ones are closed
		 * immediately.
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
