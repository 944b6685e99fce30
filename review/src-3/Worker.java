import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for a worker as PROTOCOL.md describes it: it sends heartbeats to the node beside it, refuses requests that are
 * for another instance, and echoes ids. What it does with a request is up to its {@link Behaviour}.
 */
final class Worker implements AutoCloseable {

	/** Handles one request. */
	@FunctionalInterface
	interface Behaviour {

		void handle(Exchange exchange) throws IOException, InterruptedException;

	}

	private static final int HEARTBEAT_MILLIS = 1_500;

	private final String address;

	private final String service;

	private final String id;

	private final long born = System.currentTimeMillis();

	private final AtomicLong sequence = new AtomicLong();

	private final AtomicInteger connections = new AtomicInteger();

	private final Behaviour behaviour;

	private final ServerSocket server = new ServerSocket();

	private volatile String state = "ready";

	private volatile boolean closed;

	Worker(String address, String service, String id, Behaviour behaviour) throws IOException {
		this.address = address;
		this.service = service;
		this.id = id;
		this.behaviour = behaviour;
		this.server.setReuseAddress(true);
		this.server.bind(new InetSocketAddress(address, Deployment.WORKER_PORT), 256);
		Thread.ofVirtual().start(this::accept);
		Thread.ofVirtual().start(this::beat);
	}

	String id() {
		return this.id;
	}

	/** Announces a state and returns the status of the answer, 0 without one. */
	int announce(String state) {
		return send(state, this.sequence.incrementAndGet());
	}

	/** From now on the worker says that it is leaving. */
	void leave() {
		this.state = "draining";
	}

	/** Sends what another writer left: a copy of the worker's own words with another sequence number. */
	int sendOddEntry(long oddSequence) {
		return send(this.state, oddSequence);
	}

	private int send(String state, long sequenceNumber) {
		String body = "{\"address\":\"" + this.address + ":" + Deployment.WORKER_PORT + "\",\"born\":" + this.born
				+ ",\"instance_info\":{\"service\":\"" + this.service
				+ "\",\"version\":\"v1\",\"zone\":\"regina\",\"slots\":12},\"status\":{\"state\":\"" + state
				+ "\",\"sequence_number\":" + sequenceNumber + ",\"cold_remaining_ms\":0}}";
		return Http.once(this.address, Deployment.CONTROL_PORT, "POST",
				"/lavenderroad/Instances.Heartbeat/" + this.id, Map.of("Content-Type", "application/json"),
				body.getBytes(StandardCharsets.UTF_8), 1_000)
			.status();
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.server.close();
	}

	private void beat() {
		try {
			while (!this.closed) {
				announce(this.state);
				Thread.sleep(HEARTBEAT_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void accept() {
		try {
			while (!this.closed) {
				Socket socket = this.server.accept();
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The worker has been closed.
		}
	}

	private void serve(Socket socket) {
		int connection = this.connections.incrementAndGet();
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream input = new BufferedInputStream(socket.getInputStream());
			for (int number = 1; !this.closed; number++) {
				Http.Head head = Http.readHead(input);
				byte[] body = input.readNBytes(Integer.parseInt(head.fields().getOrDefault("content-length", "0")));
				Exchange exchange = new Exchange(this.id, connection, number, head, body, socket.getOutputStream());
				String expected = head.fields().getOrDefault("x-expected-instance", this.id);
				if (!expected.equals(this.id)) {
					exchange.send("HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: other instance\r\nX-Request-Id: "
							+ exchange.requestId() + "\r\nContent-Length: 0\r\n\r\n");
					continue;
				}
				this.behaviour.handle(exchange);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The node has closed the connection.
		}
	}

	/**
	 * A request on its connection.
	 *
	 * @param worker id of the worker
	 * @param connection number of the connection at this worker
	 * @param number number of the request on its connection
	 * @param head head of the request
	 * @param body body of the request
	 * @param output output of the connection
	 */
	record Exchange(String worker, int connection, int number, Http.Head head, byte[] body, OutputStream output) {

		String requestId() {
			return this.head.fields().getOrDefault("x-request-id", "");
		}

		String path() {
			return this.head.line().split(" ")[1];
		}

		void send(String text) throws IOException {
			this.output.write(text.getBytes(StandardCharsets.ISO_8859_1));
			this.output.flush();
		}

		/** Sends a whole answer of a request that has run. */
		void answer(int status, String reason, String text) throws IOException {
			send("HTTP/1.1 " + status + " " + reason + "\r\nX-Request-Id: " + requestId()
					+ "\r\nX-Response-Signature: " + signature(this.worker, requestId()) + "\r\nX-Server-Load: 1,0,12\r\n"
					+ "Content-Length: " + text.length() + "\r\n\r\n" + text);
		}

	}

	static String signature(String worker, String requestId) {
		return "sig." + worker + "." + requestId;
	}

}
