package io.lavenderroad.bench.cluster;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * TCP proxy in front of the frames port of one process, which injects network faults by
 * the IP address of the sender. On a cut link, connections stay open but no bytes pass in
 * either direction, and new connections are accepted but pass no bytes either, as behind
 * a packet filter that drops packets. Silencing affects open connections only; new
 * connections work.
 */
public final class FaultProxy implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final long CLOSE_TIMEOUT_MILLIS = 10_000;

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	private static final long RETRY_MILLIS = 5;

	private final ServerSocket server;

	private final InetSocketAddress target;

	private final Set<String> cutSenders = ConcurrentHashMap.newKeySet();

	private final Set<Link> links = ConcurrentHashMap.newKeySet();

	private Thread acceptThread;

	private FaultProxy(ServerSocket server, InetSocketAddress target) {
		this.server = server;
		this.target = target;
	}

	/**
	 * Starts a proxy.
	 * @param listen address to which other processes connect
	 * @param target address to which the process is bound
	 * @return the running proxy
	 * @throws IOException if the address cannot be bound
	 */
	public static FaultProxy start(InetSocketAddress listen, InetSocketAddress target) throws IOException {
		ServerSocket server = new ServerSocket();
		server.setReuseAddress(true);
		server.bind(listen);
		FaultProxy proxy = new FaultProxy(server, target);
		proxy.acceptThread = Thread.ofVirtual().start(proxy::acceptAll);
		return proxy;
	}

	/**
	 * Cuts the links from a sender in both directions.
	 * @param senderAddress the IP address of the sender
	 */
	public void cut(String senderAddress) {
		this.cutSenders.add(senderAddress);
	}

	/**
	 * Restores the links from a sender. Bytes that were held back are delivered.
	 * @param senderAddress the IP address of the sender
	 */
	public void heal(String senderAddress) {
		this.cutSenders.remove(senderAddress);
	}

	/**
	 * Stops the traffic on all open connections permanently. New connections work.
	 */
	public void silenceOpenConnections() {
		this.links.forEach((link) -> link.silenced = true);
	}

	/**
	 * Closes the proxy and waits until its address can be bound again: the socket stays
	 * open until the thread that accepts connections has returned.
	 */
	@Override
	public void close() {
		closeQuietly(this.server);
		this.links.forEach(Link::close);
		try {
			this.acceptThread.join(CLOSE_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void acceptAll() {
		while (!this.server.isClosed()) {
			try {
				Socket sender = this.server.accept();
				Thread.ofVirtual().start(() -> connect(sender));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void connect(Socket sender) {
		Socket receiver = new Socket();
		Link link = new Link(sender, receiver, sender.getInetAddress().getHostAddress());
		this.links.add(link);
		try {
			link.awaitUnblocked();
			// Binding to the sender's address preserves the source address.
			receiver.bind(new InetSocketAddress(sender.getInetAddress(), 0));
			receiver.connect(this.target, CONNECT_TIMEOUT_MILLIS);
			sender.setTcpNoDelay(true);
			receiver.setTcpNoDelay(true);
			Thread.ofVirtual().start(() -> link.relay(receiver, sender));
			link.relay(sender, receiver);
		}
		catch (IOException ex) {
			link.close();
		}
	}

	private static void closeQuietly(AutoCloseable closeable) {
		try {
			closeable.close();
		}
		catch (Exception ex) {
			// The socket is unusable in any case.
			return;
		}
	}

	/**
	 * One proxied connection.
	 */
	private final class Link {

		private final Socket sender;

		private final Socket receiver;

		private final String senderAddress;

		private volatile boolean silenced;

		Link(Socket sender, Socket receiver, String senderAddress) {
			this.sender = sender;
			this.receiver = receiver;
			this.senderAddress = senderAddress;
		}

		void relay(Socket from, Socket to) {
			byte[] buffer = new byte[BUFFER_BYTES];
			try {
				InputStream input = from.getInputStream();
				OutputStream output = to.getOutputStream();
				int count = input.read(buffer);
				while (count >= 0) {
					awaitUnblocked();
					output.write(buffer, 0, count);
					count = input.read(buffer);
				}
			}
			catch (IOException ex) {
				// The finally block closes both directions.
			}
			finally {
				close();
			}
		}

		void awaitUnblocked() throws IOException {
			while (this.silenced || FaultProxy.this.cutSenders.contains(this.senderAddress)) {
				if (FaultProxy.this.server.isClosed() || this.sender.isClosed()) {
					throw new IOException("link is closed");
				}
				try {
					Thread.sleep(RETRY_MILLIS);
				}
				catch (InterruptedException ex) {
					throw new IOException("interrupted", ex);
				}
			}
		}

		void close() {
			closeQuietly(this.sender);
			closeQuietly(this.receiver);
			FaultProxy.this.links.remove(this);
		}

	}

}
