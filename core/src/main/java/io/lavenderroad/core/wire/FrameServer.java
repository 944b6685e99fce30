package io.lavenderroad.core.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import javax.net.ssl.SSLServerSocket;

import org.tinylog.Logger;

/**
 * Accepts framed connections. A failed or refused connection never affects another one.
 */
public final class FrameServer implements AutoCloseable {

	private static final int BACKLOG = 1_024;

	private final ServerSocket server;

	private final WireOptions options;

	private final ConnectionHandler handler;

	private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

	private FrameServer(ServerSocket server, WireOptions options, ConnectionHandler handler) {
		this.server = server;
		this.options = options;
		this.handler = handler;
	}

	/**
	 * Starts a server.
	 * @param address address to listen on; port 0 selects a free port
	 * @param options limits and identity of this process
	 * @param handler handles the messages and requests of all peers
	 * @return the running server
	 * @throws IOException if the address cannot be bound
	 */
	public static FrameServer start(InetSocketAddress address, WireOptions options, ConnectionHandler handler)
			throws IOException {
		ServerSocket socket = options.tls().isPresent()
				? options.tls().get().getServerSocketFactory().createServerSocket() : new ServerSocket();
		if (socket instanceof SSLServerSocket secureSocket) {
			secureSocket.setNeedClientAuth(true);
		}
		socket.setReuseAddress(true);
		socket.bind(address, BACKLOG);
		FrameServer server = new FrameServer(socket, options, handler);
		Thread.ofVirtual().name("accept " + address).start(server::acceptConnections);
		return server;
	}

	/**
	 * Returns the address that the server listens on.
	 * @return the bound address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.getLocalSocketAddress();
	}

	/**
	 * Returns the open connections.
	 * @return a live view that can be iterated concurrently
	 */
	public Set<Connection> connections() {
		return this.connections;
	}

	/**
	 * Stops accepting and closes every connection.
	 */
	@Override
	public void close() {
		try {
			this.server.close();
		}
		catch (IOException ex) {
			Logger.debug("wire: Closing the server socket failed: {}.", ex.getMessage());
		}
		this.connections.forEach((connection) -> connection.close("server is stopping"));
	}

	private void acceptConnections() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				Thread.ofVirtual().name("hello " + socket.getRemoteSocketAddress()).start(() -> accept(socket));
			}
			catch (IOException ex) {
				if (!this.server.isClosed()) {
					Logger.warn("wire: Accepting a connection failed: {}.", ex.getMessage());
				}
			}
		}
	}

	private void accept(Socket socket) {
		try {
			if (this.connections.size() >= this.options.maximumConnections()) {
				throw new WireException("limit of " + this.options.maximumConnections() + " connections is reached");
			}
			Connection connection = Connection.accept(socket, this.options, new TrackingHandler());
			if (connection.isOpen()) {
				this.connections.add(connection);
			}
			if (!connection.isOpen() || this.server.isClosed()) {
				this.connections.remove(connection);
				connection.close("server is stopping");
			}
		}
		catch (IOException | RuntimeException ex) {
			Logger.warn("wire: Refused a connection from {}: {}.", socket.getRemoteSocketAddress(), ex.getMessage());
			closeQuietly(socket);
		}
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			Logger.debug("wire: Closing a socket failed: {}.", ex.getMessage());
		}
	}

	/**
	 * Delegates to the handler of the server and removes closed connections.
	 */
	private final class TrackingHandler implements ConnectionHandler {

		@Override
		public void received(Connection connection, Object message) {
			FrameServer.this.handler.received(connection, message);
		}

		@Override
		public Object answer(Connection connection, Object request) {
			return FrameServer.this.handler.answer(connection, request);
		}

		@Override
		public void closed(Connection connection, String reason) {
			FrameServer.this.connections.remove(connection);
			FrameServer.this.handler.closed(connection, reason);
		}

	}

}
