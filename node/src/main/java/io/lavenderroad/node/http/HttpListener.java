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
 * Accepts HTTP/1.1 connections of callers, one task for each. It notices a caller that
 * leaves while its request is being answered, which the server of the JDK does not
 * report.
 */
public final class HttpListener implements AutoCloseable {

	private static final int BACKLOG = 1_024;

	/**
	 * Bodies of all requests that are being read.
	 */
	private static final long MOST_BODY_BYTES = 16L * 1024 * 1024;

	/**
	 * Pause after a failed accept, such as for want of descriptors.
	 */
	private static final long ACCEPT_PAUSE_MILLIS = 50;

	private final ServerSocket server;

	private final Clock clock;

	private final Supplier<CallerLimits> limits;

	private final RequestHandler handler;

	private final BodyMemory bodyMemory = new BodyMemory(MOST_BODY_BYTES);

	private final int mostConnections;

	private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();

	private volatile boolean leaving;

	private HttpListener(Builder builder, ServerSocket server) {
		this.server = server;
		this.clock = builder.clock;
		this.limits = builder.limits;
		this.handler = Objects.requireNonNull(builder.handler, "handler");
		this.mostConnections = builder.mostConnections;
	}

	/**
	 * Creates a builder.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Starts accepting.
	 */
	public void start() {
		Thread.ofVirtual().name("accept callers").start(this::acceptAll);
	}

	/**
	 * Returns where the listener accepts connections.
	 * @return the bound address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.getLocalSocketAddress();
	}

	/**
	 * Ends each connection after its next answer, so that callers move elsewhere. New
	 * ones are still accepted.
	 */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Accepts no more connections. Requests on open ones are still answered.
	 */
	public void stopAccepting() {
		leave();
		try {
			this.server.close();
		}
		catch (IOException ex) {
			Logger.debug("node: Closing the callers' socket failed: {}.", ex.getMessage());
		}
	}

	/**
	 * Closes every connection at once.
	 */
	@Override
	public void close() {
		stopAccepting();
		this.connections.forEach(HttpConnection::close);
	}

	boolean isLeaving() {
		return this.leaving;
	}

	BodyMemory bodyMemory() {
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

	void closed(HttpConnection connection) {
		this.connections.remove(connection);
	}

	private void acceptAll() {
		while (!this.server.isClosed()) {
			try {
				accept(this.server.accept());
			}
			catch (IOException ex) {
				if (!this.server.isClosed()) {
					Logger.warn("node: Accepting a caller failed: {}.", ex.getMessage());
					pause();
				}
			}
		}
	}

	private void accept(Socket socket) throws IOException {
		if (this.connections.size() >= this.mostConnections) {
			Logger.warn("node: Closed a caller's connection, {} are open.", this.mostConnections);
			socket.close();
			return;
		}
		HttpConnection connection = new HttpConnection(this, socket);
		this.connections.add(connection);
		connection.start();
	}

	private static void pause() {
		try {
			Thread.sleep(ACCEPT_PAUSE_MILLIS);
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

		private int mostConnections = 2_000;

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
		 * Sets the limits in force, which may change.
		 * @param newLimits gives them
		 * @return this builder
		 */
		public Builder limits(Supplier<CallerLimits> newLimits) {
			this.limits = newLimits;
			return this;
		}

		/**
		 * Sets what answers requests.
		 * @param newHandler the handler
		 * @return this builder
		 */
		public Builder handler(RequestHandler newHandler) {
			this.handler = newHandler;
			return this;
		}

		/**
		 * Sets how many connections may be open; further ones are closed at once.
		 * @param count the bound
		 * @return this builder
		 */
		public Builder mostConnections(int count) {
			this.mostConnections = count;
			return this;
		}

		/**
		 * Binds the address and creates the listener, which accepts nothing before
		 * {@link HttpListener#start()}.
		 * @param address the address; port 0 picks a free one
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
