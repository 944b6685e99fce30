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
 * Forwards the frames port of one process, so that links can be disturbed by the IP
 * address of the sender. A cut link stays open but passes nothing, in both directions,
 * and new connections over it are accepted and stay silent, as behind a packet filter
 * that drops. A silenced link differs in that new connections work.
 */
public final class LinkForwarder implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	private static final long RETRY_MILLIS = 5;

	private final ServerSocket server;

	private final InetSocketAddress target;

	private final Set<String> cutSenders = ConcurrentHashMap.newKeySet();

	private final Set<Link> links = ConcurrentHashMap.newKeySet();

	private LinkForwarder(ServerSocket server, InetSocketAddress target) {
		this.server = server;
		this.target = target;
	}

	/**
	 * Starts forwarding.
	 * @param listen address that other processes use
	 * @param target address that the process has bound
	 * @return the running forwarder
	 * @throws IOException if the address cannot be bound
	 */
	public static LinkForwarder start(InetSocketAddress listen, InetSocketAddress target) throws IOException {
		ServerSocket server = new ServerSocket();
		server.setReuseAddress(true);
		server.bind(listen);
		LinkForwarder forwarder = new LinkForwarder(server, target);
		Thread.ofVirtual().start(forwarder::acceptAll);
		return forwarder;
	}

	/**
	 * Cuts the links from a sender, both ways.
	 * @param senderAddress the IP address of the sender
	 */
	public void cut(String senderAddress) {
		this.cutSenders.add(senderAddress);
	}

	/**
	 * Restores the links from a sender. Bytes held back are delivered.
	 * @param senderAddress the IP address of the sender
	 */
	public void heal(String senderAddress) {
		this.cutSenders.remove(senderAddress);
	}

	/**
	 * Silences the present connections for good; new ones work.
	 */
	public void silencePresentConnections() {
		this.links.forEach((link) -> link.silenced = true);
	}

	@Override
	public void close() {
		closeQuietly(this.server);
		this.links.forEach(Link::close);
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
			link.awaitPassage();
			// Binding to the address of the sender keeps it visible to the process.
			receiver.bind(new InetSocketAddress(sender.getInetAddress(), 0));
			receiver.connect(this.target, CONNECT_TIMEOUT_MILLIS);
			sender.setTcpNoDelay(true);
			receiver.setTcpNoDelay(true);
			Thread.ofVirtual().start(() -> link.pump(receiver, sender));
			link.pump(sender, receiver);
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
			// The socket is unusable either way.
			return;
		}
	}

	/**
	 * One forwarded connection.
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

		void pump(Socket from, Socket to) {
			byte[] buffer = new byte[BUFFER_BYTES];
			try {
				InputStream input = from.getInputStream();
				OutputStream output = to.getOutputStream();
				int count = input.read(buffer);
				while (count >= 0) {
					awaitPassage();
					output.write(buffer, 0, count);
					count = input.read(buffer);
				}
			}
			catch (IOException ex) {
				// Both directions end together below.
			}
			finally {
				close();
			}
		}

		void awaitPassage() throws IOException {
			while (this.silenced || LinkForwarder.this.cutSenders.contains(this.senderAddress)) {
				if (LinkForwarder.this.server.isClosed() || this.sender.isClosed()) {
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
			LinkForwarder.this.links.remove(this);
		}

	}

}
