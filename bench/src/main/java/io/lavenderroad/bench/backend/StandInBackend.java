package io.lavenderroad.bench.backend;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.jr.ob.JSON;
import io.lavenderroad.core.LavenderroadException;
import org.tinylog.Logger;

/**
 * Scriptable stub of a backend server over HTTP/1.1. Each answer repeats the header
 * {@code Request-Id} and the request body, so that a caller can verify that the answer is
 * complete and belongs to its request. A request stops and counts as cancelled when its
 * connection is closed. {@code GET /health}, {@code GET /load} and {@code GET /record}
 * report its state; {@code POST /script?name=value} changes its behaviour. The request
 * header {@code Stand-In} selects the behaviour for one request: {@code error},
 * {@code truncate}, {@code drop}, {@code no-length}, {@code chunked}, {@code shed},
 * {@code sleep=MILLIS}, {@code bytes=COUNT}, which adds as many bytes to the body, or
 * {@code raw=RESPONSE}, which sends the percent-encoded bytes as the whole response and
 * closes the connection.
 */
public final class StandInBackend implements AutoCloseable {

	private static final int BACKLOG = 1_024;

	private static final int MAXIMUM_LINE_BYTES = 16 * 1024;

	private static final int STATUS_OK = 200;

	private static final int STATUS_ERROR = 500;

	private static final int STATUS_UNAVAILABLE = 503;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final String RAW_SCRIPT = "raw=";

	private static final String BYTES_SCRIPT = "bytes=";

	private final String name;

	private final ServerSocket server;

	private final RunRecord record = new RunRecord();

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicInteger running = new AtomicInteger();

	private volatile Behaviour behaviour;

	private volatile Semaphore slots;

	private volatile long firstRequestNanos;

	private volatile boolean healthy = true;

	private volatile Map<String, String> lastHeaders = Map.of();

	private StandInBackend(String name, ServerSocket server, Behaviour behaviour) {
		this.name = name;
		this.server = server;
		behave(behaviour);
	}

	/**
	 * Starts a server.
	 * @param name name that its answers contain
	 * @param address address to listen on; port 0 selects a free port
	 * @param behaviour initial behaviour
	 * @return the running server
	 * @throws IOException if the address cannot be bound
	 */
	public static StandInBackend start(String name, InetSocketAddress address, Behaviour behaviour) throws IOException {
		ServerSocket socket = new ServerSocket();
		socket.setReuseAddress(true);
		socket.bind(address, BACKLOG);
		StandInBackend backend = new StandInBackend(name, socket, behaviour);
		Thread.ofVirtual().name("stand-in " + name).start(backend::acceptAll);
		return backend;
	}

	/**
	 * Starts one server from the command line and runs until it is killed.
	 * @param arguments see {@code --help}
	 * @throws Exception if the server cannot start
	 */
	public static void main(String[] arguments) throws Exception {
		Arguments parsed = new Arguments();
		JCommander commander = JCommander.newBuilder().addObject(parsed).programName("stand-in").build();
		try {
			commander.parse(arguments);
			if (parsed.help) {
				commander.usage();
				return;
			}
			Map<String, String> values = new LinkedHashMap<>();
			parsed.values.forEach((value) -> values.putAll(pair(value)));
			StandInBackend backend = start(parsed.name, new InetSocketAddress(parsed.address, parsed.port),
					Behaviour.DEFAULT.with(values));
			System.out.println("listening " + backend.address().getPort());
			Thread.currentThread().join();
		}
		catch (ParameterException | LavenderroadException ex) {
			System.err.println("stand-in: " + ex.getMessage());
			System.exit(2);
		}
	}

	/**
	 * Returns the address that the server listens on.
	 * @return the bound address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.getLocalSocketAddress();
	}

	/**
	 * Returns the counts of the requests that the server ran.
	 * @return the record, which is updated while the server runs
	 */
	public RunRecord record() {
		return this.record;
	}

	/**
	 * Returns the headers of the last request.
	 * @return values by name in lower case
	 */
	public Map<String, String> lastHeaders() {
		return this.lastHeaders;
	}

	/**
	 * Returns the number of requests that currently hold a slot.
	 * @return count
	 */
	public int running() {
		return this.running.get();
	}

	/**
	 * Changes the behaviour for subsequent requests.
	 * @param changed the new behaviour
	 */
	public void behave(Behaviour changed) {
		Behaviour previous = this.behaviour;
		this.behaviour = changed;
		if (previous == null || previous.slots() != changed.slots()) {
			this.slots = new Semaphore(changed.slots(), true);
		}
	}

	/**
	 * Sets the result of {@code GET /health}.
	 * @param newHealthy true for status 200, false for status 503
	 */
	public void healthy(boolean newHealthy) {
		this.healthy = newHealthy;
	}

	@Override
	public void close() {
		closeQuietly(this.server);
		this.sockets.forEach(StandInBackend::closeQuietly);
	}

	private void acceptAll() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				this.sockets.add(socket);
				Thread.ofVirtual().start(() -> serve(socket));
			}
			catch (IOException ex) {
				Logger.debug("stand-in: Accepting failed: {}.", ex.getMessage());
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			PushbackInputStream input = new PushbackInputStream(new BufferedInputStream(socket.getInputStream()));
			Request request = read(input);
			while (request != null && answer(request, input, socket)) {
				request = read(input);
			}
		}
		catch (IOException | RuntimeException ex) {
			Logger.debug("stand-in: Connection ended: {}.", ex.getMessage());
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	// The request runs on its own thread, while this thread reads from the connection to
	// detect when the caller closes it.
	private boolean answer(Request request, PushbackInputStream input, Socket socket) throws IOException {
		Thread reader = Thread.currentThread();
		boolean[] keepOpen = new boolean[1];
		AtomicInteger done = new AtomicInteger();
		Thread worker = Thread.ofVirtual().start(() -> {
			try {
				keepOpen[0] = work(request, socket);
			}
			catch (IOException ex) {
				Logger.debug("stand-in: Answer not written: {}.", ex.getMessage());
			}
			finally {
				done.set(1);
			}
			if (!keepOpen[0]) {
				closeQuietly(socket);
			}
		});
		int next;
		try {
			next = input.read();
		}
		catch (IOException ex) {
			next = -1;
		}
		if (next >= 0) {
			input.unread(next);
		}
		else if (done.get() == 0) {
			worker.interrupt();
		}
		try {
			worker.join();
		}
		catch (InterruptedException ex) {
			reader.interrupt();
		}
		return next >= 0 && keepOpen[0];
	}

	private boolean work(Request request, Socket socket) throws IOException {
		String path = request.path();
		switch (path) {
			case "/health" -> {
				return write(socket, this.healthy ? STATUS_OK : STATUS_UNAVAILABLE, List.of(),
						json(Map.of("healthy", this.healthy)));
			}
			case "/load" -> {
				return write(socket, STATUS_OK, List.of(),
						json(Map.of("running", this.running.get(), "slots", this.behaviour.slots())));
			}
			case "/record" -> {
				return write(socket, STATUS_OK, List.of(), json(recordMap()));
			}
			case "/script" -> {
				return script(request, socket);
			}
			default -> {
				return workInSlot(request, socket);
			}
		}
	}

	private boolean script(Request request, Socket socket) throws IOException {
		try {
			behave(this.behaviour.with(request.query()));
			return write(socket, STATUS_OK, List.of(), json(Map.of("behaviour", this.behaviour.toString())));
		}
		catch (LavenderroadException ex) {
			return write(socket, 400, List.of(), json(Map.of("problem", ex.getMessage())));
		}
	}

	private boolean workInSlot(Request request, Socket socket) throws IOException {
		String script = request.header("stand-in");
		this.lastHeaders = request.headers();
		if (script.equals("shed")) {
			return write(socket, STATUS_UNAVAILABLE, List.of("Mesh-Backend-Verdict: not-run"), new byte[0]);
		}
		Semaphore semaphore = this.slots;
		try {
			semaphore.acquire();
		}
		catch (InterruptedException ex) {
			this.record.countCancellation();
			return false;
		}
		this.running.incrementAndGet();
		this.record.countStart(request.header("request-id"));
		try {
			if (!sleep(serviceNanos(script))) {
				this.record.countCancellation();
				return false;
			}
			this.record.countFinish();
		}
		finally {
			this.running.decrementAndGet();
			semaphore.release();
		}
		return writeScripted(request, socket, script);
	}

	private boolean writeScripted(Request request, Socket socket, String script) throws IOException {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		Behaviour now = this.behaviour;
		byte[] id = (this.name + " " + request.header("request-id") + "\n").getBytes(StandardCharsets.UTF_8);
		byte[] body = new byte[id.length + request.body().length];
		System.arraycopy(id, 0, body, 0, id.length);
		System.arraycopy(request.body(), 0, body, id.length, request.body().length);
		if (script.startsWith(BYTES_SCRIPT)) {
			body = Arrays.copyOf(body, body.length + Integer.parseInt(script.substring(BYTES_SCRIPT.length())));
		}
		boolean errorsHere = request.path().startsWith(now.errorPath());
		if (script.equals("error") || (errorsHere && random.nextDouble() < now.errorShare())) {
			return write(socket, STATUS_ERROR, headers(request), body);
		}
		if (script.equals("drop")) {
			return false;
		}
		if (script.equals("truncate") || random.nextDouble() < now.truncatedShare()) {
			socket.getOutputStream().write(head(STATUS_OK, headers(request), "Content-Length: " + (body.length + 10)));
			socket.getOutputStream().write(body);
			return false;
		}
		if (script.equals("no-length")) {
			socket.getOutputStream().write(head(STATUS_OK, headers(request), "Connection: close"));
			socket.getOutputStream().write(body);
			return false;
		}
		if (script.startsWith(RAW_SCRIPT)) {
			String response = URLDecoder.decode(script.substring(RAW_SCRIPT.length()), StandardCharsets.ISO_8859_1);
			socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
			return false;
		}
		if (script.equals("chunked")) {
			OutputStream output = socket.getOutputStream();
			output.write(head(STATUS_OK, headers(request), "Transfer-Encoding: chunked"));
			output.write((Integer.toHexString(body.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
			output.write(body);
			output.write("\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			return true;
		}
		return write(socket, STATUS_OK, headers(request), body);
	}

	private long serviceNanos(String script) {
		if (script.startsWith("sleep=")) {
			return (long) (Long.parseLong(script.substring("sleep=".length())) * NANOS_PER_MILLI);
		}
		if (this.firstRequestNanos == 0) {
			this.firstRequestNanos = System.nanoTime();
		}
		Behaviour now = this.behaviour;
		double ageMillis = (System.nanoTime() - this.firstRequestNanos) / NANOS_PER_MILLI;
		double warm = (now.coldMillis() > 0) ? Math.min(1, ageMillis / now.coldMillis()) : 1;
		double factor = now.coldFactor() + (1 - now.coldFactor()) * warm;
		double overload = now.overloadMillis() * (this.running.get() - 1);
		return (long) ((now.serviceMillis() * factor + overload) * NANOS_PER_MILLI);
	}

	private static boolean sleep(long nanos) {
		long end = System.nanoTime() + nanos;
		for (long left = nanos; left > 0; left = end - System.nanoTime()) {
			LockSupport.parkNanos(left);
			if (Thread.interrupted()) {
				return false;
			}
		}
		return true;
	}

	private static List<String> headers(Request request) {
		return List.of("Request-Id: " + request.header("request-id"),
				"Seen-Attempt-Budget: " + request.header("mesh-attempt-budget"), "Connection-Test: kept");
	}

	private static boolean write(Socket socket, int status, List<String> headers, byte[] body) throws IOException {
		byte[] head = head(status, headers, "Content-Length: " + body.length);
		byte[] whole = new byte[head.length + body.length];
		System.arraycopy(head, 0, whole, 0, head.length);
		System.arraycopy(body, 0, whole, head.length, body.length);
		socket.getOutputStream().write(whole);
		return true;
	}

	private static byte[] head(int status, List<String> headers, String last) {
		StringBuilder head = new StringBuilder("HTTP/1.1 ").append(status).append(" Stand-In\r\n");
		headers.forEach((header) -> head.append(header).append("\r\n"));
		return head.append(last).append("\r\n\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
	}

	private Map<String, Object> recordMap() {
		Map<String, Object> map = new TreeMap<>();
		map.put("started", this.record.started());
		map.put("finished", this.record.finished());
		map.put("cancelled", this.record.cancelled());
		map.put("starts", this.record.startsById());
		return map;
	}

	private static byte[] json(Map<String, ?> map) throws IOException {
		return JSON.std.asBytes(map);
	}

	private static Request read(PushbackInputStream input) throws IOException {
		String first = line(input);
		if (first == null) {
			return null;
		}
		String[] parts = first.split(" ");
		if (parts.length < 2) {
			throw new IOException("request line is '" + first + "'");
		}
		Map<String, String> headers = new TreeMap<>();
		for (String line = line(input); line != null && !line.isEmpty(); line = line(input)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		byte[] body = input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
		return new Request(parts[1], headers, body);
	}

	private static String line(PushbackInputStream input) throws IOException {
		StringBuilder line = new StringBuilder();
		int next = input.read();
		while (next >= 0 && next != '\n' && line.length() < MAXIMUM_LINE_BYTES) {
			if (next != '\r') {
				line.append((char) next);
			}
			next = input.read();
		}
		return (next < 0 && line.isEmpty()) ? null : line.toString();
	}

	private static Map<String, String> pair(String text) {
		int equals = text.indexOf('=');
		if (equals < 0) {
			throw new LavenderroadException("'" + text + "' is not of the form name=value");
		}
		return Map.of(text.substring(0, equals), text.substring(equals + 1));
	}

	private static void closeQuietly(AutoCloseable resource) {
		try {
			resource.close();
		}
		catch (Exception ex) {
			Logger.debug("stand-in: Closing failed: {}.", ex.getMessage());
		}
	}

	private record Request(String target, Map<String, String> headers, byte[] body) {

		private String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		private String path() {
			int question = this.target.indexOf('?');
			return (question < 0) ? this.target : this.target.substring(0, question);
		}

		private Map<String, String> query() {
			Map<String, String> values = new LinkedHashMap<>();
			int question = this.target.indexOf('?');
			if (question >= 0) {
				for (String part : this.target.substring(question + 1).split("&")) {
					values.putAll(pair(part));
				}
			}
			return values;
		}

	}

	private static final class Arguments {

		@Parameter(names = "--name", description = "Name that the answers carry.")
		private String name = "stand-in";

		@Parameter(names = "--address", description = "Loopback address to listen on.")
		private String address = InetAddress.getLoopbackAddress().getHostAddress();

		@Parameter(names = "--port", description = "Port to listen on; 0 picks a free one.")
		private int port;

		@Parameter(names = "--set", description = "Behaviour value as name=value; may be repeated.")
		private List<String> values = new ArrayList<>();

		@Parameter(names = "--help", help = true, description = "Prints this text.")
		private boolean help;

	}

}
