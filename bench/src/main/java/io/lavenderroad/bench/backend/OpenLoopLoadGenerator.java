package io.lavenderroad.bench.backend;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Open-loop load generator: sends HTTP requests at a fixed rate, independently of earlier
 * answers. Latencies are measured from the scheduled time of a request, so that a stalled
 * sender does not hide them (coordinated omission).
 */
final class OpenLoopLoadGenerator {

	private static final int TIMEOUT_MILLIS = 10_000;

	private final Map<Integer, Deque<CallerConnection>> idleConnections = new ConcurrentHashMap<>();

	private final AtomicLong ids = new AtomicLong();

	private final int deadlineMillis;

	private final int retries;

	OpenLoopLoadGenerator(int deadlineMillis, int retries) {
		this.deadlineMillis = deadlineMillis;
		this.retries = retries;
	}

	/**
	 * Sends requests to the given ports in round-robin order.
	 * @param ports ports of nodes or backend servers
	 * @param ratePerSecond requests per second
	 * @param seconds duration in seconds
	 * @return the outcomes in no particular order
	 */
	List<Outcome> run(List<Integer> ports, double ratePerSecond, double seconds) {
		ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
		int count = (int) (ratePerSecond * seconds);
		CountDownLatch done = new CountDownLatch(count);
		long start = System.nanoTime();
		for (int index = 0; index < count; index++) {
			long due = start + (long) (index * 1e9 / ratePerSecond);
			for (long wait = due - System.nanoTime(); wait > 0; wait = due - System.nanoTime()) {
				LockSupport.parkNanos(wait);
			}
			int port = ports.get(index % ports.size());
			Thread.ofVirtual().start(() -> {
				outcomes.add(call(port, due));
				done.countDown();
			});
		}
		try {
			done.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return List.copyOf(outcomes);
	}

	private Outcome call(int port, long dueNanos) {
		int status = 0;
		for (int attempt = 0; attempt <= this.retries; attempt++) {
			status = attempt(port);
			if (status < 500 && status > 0) {
				break;
			}
		}
		return new Outcome(dueNanos, port, status, (System.nanoTime() - dueNanos) / 1e6);
	}

	private int attempt(int port) {
		Deque<CallerConnection> pool = this.idleConnections.computeIfAbsent(port,
				(key) -> new ConcurrentLinkedDeque<>());
		CallerConnection connection = pool.poll();
		try {
			if (connection == null) {
				connection = new CallerConnection(port);
			}
			int status = connection.call("r" + this.ids.incrementAndGet(), this.deadlineMillis);
			pool.push(connection);
			return status;
		}
		catch (IOException | RuntimeException ex) {
			if (connection != null) {
				connection.close();
			}
			return 0;
		}
	}

	/**
	 * Outcome of one request.
	 *
	 * @param dueNanos scheduled time on the clock of {@link System#nanoTime()}
	 * @param port port that the request was sent to
	 * @param status HTTP status, 0 for a broken connection
	 * @param millis latency from the scheduled time, including retries
	 */
	record Outcome(long dueNanos, int port, int status, double millis) {

		boolean isSuccessful() {
			return this.status == 200;
		}

	}

	private static final class CallerConnection {

		private final Socket socket;

		private final InputStream input;

		private CallerConnection(int port) throws IOException {
			this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
			this.socket.setTcpNoDelay(true);
			this.socket.setSoTimeout(TIMEOUT_MILLIS);
			this.input = new BufferedInputStream(this.socket.getInputStream());
		}

		private int call(String id, int deadlineMillis) throws IOException {
			String request = "GET /items HTTP/1.1\r\nHost: catalogue\r\nMesh-Service: catalogue\r\nRequest-Id: " + id
					+ "\r\nMesh-Customer: shop\r\nMesh-Deadline-Millis: " + deadlineMillis + "\r\n\r\n";
			this.socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
			int status = Integer.parseInt(line().split(" ")[1]);
			int length = 0;
			for (String line = line(); !line.isEmpty(); line = line()) {
				if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
					length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
				}
			}
			String body = new String(this.input.readNBytes(length), StandardCharsets.UTF_8);
			if (status == 200 && !body.contains(" " + id + "\n")) {
				throw new IOException("answer '" + body + "' does not belong to request " + id);
			}
			return status;
		}

		private String line() throws IOException {
			StringBuilder line = new StringBuilder();
			for (int next = this.input.read(); next != '\n'; next = this.input.read()) {
				if (next < 0) {
					throw new IOException("connection closed");
				}
				if (next != '\r') {
					line.append((char) next);
				}
			}
			return line.toString();
		}

		private void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				System.err.println("closing a connection failed: " + ex.getMessage());
			}
		}

	}

}
