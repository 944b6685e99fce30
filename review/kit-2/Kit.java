import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Stand-ins for the cases of this review: the platform that starts the processes of the
 * deploy file on loopback addresses, workers, clients and the operator. All of them
 * follow PROTOCOL.md and DEPLOY.md.
 */
public final class Kit implements AutoCloseable {

	static final int FRAMES = 7380;

	static final int CONTROL_PLANE = 8144;

	static final int APPLICATION = 8145;

	static final int INBOUND = 8146;

	static final int OUTBOUND = 8147;

	static final int READINESS = 8141;

	static final int HEARTBEAT_MILLIS = 1_500;

	static final int GRACE_SECONDS = 6;

	static final int DRAIN_MILLIS = 2_000;

	static final String[] ZONES = { "za", "zb", "zc" };

	final Path folder;

	final String network;

	final long startNanos = System.nanoTime();

	/** Whether the platform starts processes again that have ended by themselves. */
	volatile boolean restarts;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final List<Daemon> daemons = new CopyOnWriteArrayList<>();

	final List<Worker> workers = new CopyOnWriteArrayList<>();

	private final PrintWriter record;

	private final AtomicLong ids = new AtomicLong(System.nanoTime() & 0xffffffL);

	private volatile boolean closing;

	Kit(String caseFolder) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
		this.folder = Files.createTempDirectory("review2-");
		this.network = freeNetwork();
		Runtime.getRuntime().addShutdownHook(Thread.ofPlatform().unstarted(this::close));
		log("trouble " + (this.trouble ? "on" : "off") + ", loopback addresses " + this.network + ".*");
	}

	void log(String line) {
		String text = String.format("%9.3f s  %s", (System.nanoTime() - this.startNanos) / 1e9, line);
		synchronized (this.record) {
			this.record.println(text);
		}
	}

	/** Seconds since the start of the case. */
	double now() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	String newId() {
		return String.format("%016x", this.ids.incrementAndGet() * 0x9e3779b97f4a7c15L);
	}

	private static String freeNetwork() throws IOException {
		java.util.Random random = new java.util.Random();
		for (int attempt = 0; attempt < 50; attempt++) {
			String candidate = "127." + (100 + random.nextInt(150)) + "." + (1 + random.nextInt(250));
			if (isFree(candidate + ".11") && isFree(candidate + ".101")) {
				return candidate;
			}
		}
		throw new IOException("no free loopback addresses");
	}

	private static boolean isFree(String address) {
		for (int port : new int[] { FRAMES, FRAMES + 15, CONTROL_PLANE, APPLICATION, OUTBOUND, READINESS }) {
			try (ServerSocket socket = new ServerSocket()) {
				socket.setReuseAddress(true);
				socket.bind(new InetSocketAddress(address, port));
			}
			catch (IOException ex) {
				return false;
			}
		}
		return true;
	}

	// ------------------------------------------------------------------ platform

	List<String> seeds(int controls) {
		List<String> seeds = new ArrayList<>();
		for (int index = 1; index <= Math.min(3, controls); index++) {
			seeds.add(controlAddress(index) + ":" + CONTROL_PLANE);
		}
		return seeds;
	}

	String controlAddress(int index) {
		return this.network + "." + (10 + index);
	}

	String nodeAddress(int index) {
		return this.network + "." + (100 + index);
	}

	/** Starts control members and nodes at the same time, as the platform does. */
	void start(int controls, String... nodeServices) throws IOException {
		for (int index = 1; index <= controls; index++) {
			this.daemons.add(new Daemon("control", index, "", controls));
		}
		for (int index = 1; index <= nodeServices.length; index++) {
			this.daemons.add(new Daemon("node", index, nodeServices[index - 1], controls));
		}
		for (Daemon daemon : this.daemons) {
			daemon.start(true);
		}
	}

	Daemon control(int index) {
		return find("control", index);
	}

	Daemon node(int index) {
		return find("node", index);
	}

	private Daemon find(String role, int index) {
		return this.daemons.stream()
			.filter((daemon) -> daemon.role.equals(role) && daemon.index == index)
			.findFirst()
			.orElseThrow();
	}

	final class Daemon {

		final String role;

		final int index;

		final String service;

		final String address;

		final String name;

		final int controls;

		volatile Process process;

		volatile int starts;

		/** How often a process of this machine has ended by itself. */
		volatile int ownEnds;

		/** Processes that this test ends itself. */
		final java.util.Set<Long> signalled = ConcurrentHashMap.newKeySet();

		Daemon(String role, int index, String service, int controls) {
			this.role = role;
			this.index = index;
			this.service = service;
			this.controls = controls;
			this.address = role.equals("control") ? controlAddress(index) : nodeAddress(index);
			this.name = role + "-" + index;
		}

		String zone() {
			return ZONES[(this.index - 1) % ZONES.length];
		}

		Path dataFolder() {
			return Kit.this.folder.resolve(this.name + "-data");
		}

		Path logFile() {
			return Kit.this.folder.resolve(this.name + ".log");
		}

		synchronized void start(boolean firstStart) throws IOException {
			Map<String, Object> fields = fields(firstStart);
			Path settings = Kit.this.folder.resolve(this.name + ".yml");
			Files.writeString(settings, render(Files.readString(Path.of("deploy", this.role + ".yml")), fields));
			Files.createDirectories(dataFolder());
			List<String> words = new ArrayList<>();
			for (String word : runLine(this.role).split(" ")) {
				words.add(render(word, fields));
			}
			ProcessBuilder builder = new ProcessBuilder(words);
			Map<String, String> environment = builder.environment();
			environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
			environment.put("LAVENDERROAD_BOOT", settings.toString());
			if (this.role.equals("node")) {
				environment.put("LAVENDERROAD_DESCRIPTORS", "4100");
			}
			builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
			this.process = builder.start();
			this.starts++;
			log("platform: started " + this.name + " at " + this.address + ", pid " + this.process.pid());
			Process started = this.process;
			started.onExit().thenAccept((ended) -> ended(started));
		}

		private void ended(Process ended) {
			if (!Kit.this.closing) {
				log("platform: " + this.name + ", pid " + ended.pid() + ", has ended with code " + ended.exitValue()
						+ (this.signalled.contains(ended.pid()) ? " after a signal" : " by itself"));
				if (!this.signalled.contains(ended.pid())) {
					this.ownEnds++;
					if (Kit.this.restarts) {
						pause(1_000);
						restart();
					}
				}
			}
		}

		private synchronized void restart() {
			try {
				if (!Kit.this.closing) {
					start(false);
				}
			}
			catch (IOException ex) {
				log("platform: " + this.name + " can't be started: " + ex);
			}
		}

		private Map<String, Object> fields(boolean firstStart) {
			Map<String, Object> fields = new LinkedHashMap<>();
			fields.put("node_name", this.name);
			fields.put("role", this.role);
			fields.put("ip_address", this.address);
			fields.put("zone", zone());
			fields.put("region", "region");
			fields.put("internal_port_range", List.of(FRAMES, FRAMES + 15));
			fields.put("seed_addresses", seeds(this.controls));
			fields.put("first_start", firstStart);
			fields.put("heartbeat_interval_ms", HEARTBEAT_MILLIS);
			fields.put("application_address", this.address + ":" + APPLICATION);
			fields.put("service", this.service);
			Map<String, Object> zones = new TreeMap<>();
			for (String zone : ZONES) {
				zones.put(zone, "region");
			}
			fields.put("zones", zones);
			fields.put("data_directory", dataFolder().toString());
			fields.put("listen_addresses",
					Map.of("inbound", this.address + ":" + INBOUND, "outbound", this.address + ":" + OUTBOUND,
							"readiness_address", this.address + ":" + READINESS, "control_plane",
							this.address + ":" + CONTROL_PLANE));
			fields.put("limits", Map.of("file_descriptors", 4100, "memory_mb", 430));
			fields.put("fault_tolerance", Map.of("machines", (this.controls - 1) / 2, "zones", 0, "regions", 0));
			fields.put("bounds", Map.of("grace_period_s", GRACE_SECONDS, "drain_ms", DRAIN_MILLIS));
			return fields;
		}

		void kill() throws InterruptedException {
			signal("KILL");
			this.process.waitFor(5, TimeUnit.SECONDS);
		}

		void signal(String signal) {
			if (signal.equals("KILL") || signal.equals("TERM")) {
				this.signalled.add(this.process.pid());
			}
			log("platform: SIG" + signal + " to " + this.name);
			try {
				new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}

		boolean endedByItself() {
			return !this.process.isAlive() && !this.signalled.contains(this.process.pid());
		}

		boolean ready() {
			try (Client client = new Client(Kit.this, this.address, READINESS)) {
				Answer answer = client.call("GET", "/lavenderroad/readiness", List.of("Host", "x"), new byte[0], 1_000);
				return answer != null && answer.status == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

	}

	private static String runLine(String role) throws IOException {
		String text = Files.readString(Path.of("deploy/system.toml"));
		Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(text);
		if (!matcher.find()) {
			throw new IOException("deploy/system.toml has no role " + role);
		}
		return matcher.group(1);
	}

	static String render(String template, Map<String, Object> fields) {
		Matcher matcher = Pattern.compile("\\{\\{([a-z_0-9.]+)(\\|json)?\\}\\}").matcher(template);
		StringBuilder text = new StringBuilder();
		while (matcher.find()) {
			Object value = fields;
			for (String part : matcher.group(1).split("\\.")) {
				value = (value instanceof List<?> list) ? list.get(Integer.parseInt(part))
						: (value instanceof Map<?, ?> map) ? map.get(part) : null;
			}
			matcher.appendReplacement(text,
					Matcher.quoteReplacement((matcher.group(2) != null) ? json(value) : String.valueOf(value)));
		}
		return matcher.appendTail(text).toString();
	}

	static String json(Object value) {
		return switch (value) {
			case null -> "null";
			case String text -> '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
			case Collection<?> list -> list.stream().map(Kit::json).collect(Collectors.joining(",", "[", "]"));
			case Map<?, ?> map -> map.entrySet()
				.stream()
				.map((entry) -> json(entry.getKey()) + ":" + json(entry.getValue()))
				.collect(Collectors.joining(",", "{", "}"));
			default -> String.valueOf(value);
		};
	}

	// ------------------------------------------------------------------ operator

	/** Sends an order to the control members in turn until one answers clearly. */
	Answer order(int controls, String method, String path, List<String> fields, String body, long timeoutMillis)
			throws InterruptedException {
		return order(0, controls, method, path, fields, body, timeoutMillis);
	}

	Answer order(int first, int controls, String method, String path, List<String> fields, String body,
			long timeoutMillis) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		int turn = first;
		Answer last = null;
		while (System.nanoTime() < end) {
			String address = controlAddress(1 + turn++ % controls);
			int port = CONTROL_PLANE;
			for (int hop = 0; hop < 3; hop++) {
				try (Client client = new Client(this, address, port)) {
					last = client.call(method, path, fields, body.getBytes(StandardCharsets.UTF_8),
							(body.length() > 200_000) ? 6_000 : 1_500);
				}
				catch (IOException ex) {
					last = null;
				}
				if (last == null || last.status != 307) {
					break;
				}
				Matcher target = Pattern.compile("http://([^:/]+):([0-9]+)(/.*)").matcher(last.field("Location"));
				if (!target.matches()) {
					break;
				}
				address = target.group(1);
				port = Integer.parseInt(target.group(2));
			}
			if (last != null && (last.status == 200 || last.status >= 400 && last.status < 500 && last.status != 408
					&& last.status != 429)) {
				return last;
			}
			Thread.sleep(100);
		}
		return last;
	}

	Answer configure(int controls, long version, long base, String body) throws InterruptedException {
		Answer answer = order(controls, "POST", "/lavenderroad/Configuration.Replace",
				List.of("Host", "control", "X-Base-Version", "r" + base, "Content-Type", "application/json"), body,
				20_000);
		log("operator: configuration r" + version + " on r" + base + ": "
				+ ((answer == null) ? "no answer" : String.valueOf(answer.status)));
		return answer;
	}

	static String configuration(long version, Map<String, Object> routes, Map<String, Object> services) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("version", "r" + version);
		body.put("routes", routes);
		body.put("services", services);
		body.put("limits", Map.of("maximum_header_bytes", 16384, "maximum_body_bytes", 67108864, "header_timeout_ms",
				3000, "idle_timeout_ms", 15000));
		return json(body);
	}

	static Map<String, Object> route(String prefix, String kind, int timeoutMillis, String service) {
		Map<String, Object> route = new LinkedHashMap<>();
		route.put("host", "shop.example");
		route.put("path_prefix", prefix);
		route.put("kind", kind);
		route.put("timeout_ms", timeoutMillis);
		route.put("target_latency_ms", timeoutMillis / 2);
		route.put("priority", 1);
		route.put("service", service);
		route.put("maximum_attempts", 2);
		return route;
	}

	static Map<String, Object> service() {
		Map<String, Object> service = new LinkedHashMap<>();
		service.put("health_path", "/health");
		service.put("connection_limit", 110);
		service.put("protocol", "h1");
		service.put("transport_security", false);
		return service;
	}

	boolean awaitReady(long timeoutMillis) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		while (System.nanoTime() < end) {
			if (this.daemons.stream().filter((daemon) -> daemon.role.equals("node")).allMatch(Daemon::ready)) {
				log("platform: all nodes are ready");
				return true;
			}
			Thread.sleep(200);
		}
		return false;
	}

	// ------------------------------------------------------------------ clients

	static final class Answer {

		final int status;

		final List<String> fields;

		final byte[] body;

		Answer(int status, List<String> fields, byte[] body) {
			this.status = status;
			this.fields = fields;
			this.body = body;
		}

		String field(String name) {
			for (int index = 0; index < this.fields.size(); index += 2) {
				if (this.fields.get(index).equalsIgnoreCase(name)) {
					return this.fields.get(index + 1);
				}
			}
			return "";
		}

	}

	/** One connection of a client. */
	static final class Client implements AutoCloseable {

		final Socket socket;

		private final InputStream input;

		private final OutputStream output;

		Client(Kit kit, String address, int port) throws IOException {
			this.socket = new Socket();
			this.socket.setTcpNoDelay(true);
			this.socket.connect(new InetSocketAddress(address, port), 1_000);
			this.input = new BufferedInputStream(this.socket.getInputStream());
			this.output = this.socket.getOutputStream();
		}

		void send(String method, String path, List<String> fields, byte[] body) throws IOException {
			send(method, path, fields, body, 0);
		}

		/** Sends a request; the body in pieces if a speed in kilobytes per second is given. */
		void send(String method, String path, List<String> fields, byte[] body, int speed) throws IOException {
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
			for (int index = 0; index < fields.size(); index += 2) {
				head.append(fields.get(index)).append(": ").append(fields.get(index + 1)).append("\r\n");
			}
			if (body.length > 0 || method.equals("POST")) {
				head.append("Content-Length: ").append(body.length).append("\r\n");
			}
			this.output.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
			int piece = (speed == 0) ? Math.max(1, body.length) : speed * 10;
			long start = System.nanoTime();
			for (int offset = 0; offset < body.length; offset += piece) {
				this.output.write(body, offset, Math.min(piece, body.length - offset));
				if (speed > 0) {
					pause((offset + piece) / speed - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
				}
			}
			this.output.flush();
		}

		/** Returns the answer, or null if none came in time. Throws if the connection ends. */
		Answer receive(int timeoutMillis) throws IOException {
			this.socket.setSoTimeout(timeoutMillis);
			try {
				return readMessage(this.input, true);
			}
			catch (java.net.SocketTimeoutException ex) {
				return null;
			}
		}

		Answer call(String method, String path, List<String> fields, byte[] body, int timeoutMillis)
				throws IOException {
			send(method, path, fields, body);
			return receive(timeoutMillis);
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

	static String readLine(InputStream input) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = input.read(); next != '\n'; next = input.read()) {
			if (next < 0) {
				throw new EOFException("the connection has ended");
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	static Answer readMessage(InputStream input, boolean response) throws IOException {
		String first = readLine(input);
		List<String> fields = new ArrayList<>();
		int length = -1;
		boolean chunked = false;
		for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
			int colon = line.indexOf(':');
			String name = line.substring(0, colon);
			String value = line.substring(colon + 1).strip();
			fields.add(name);
			fields.add(value);
			length = name.equalsIgnoreCase("Content-Length") ? Integer.parseInt(value) : length;
			chunked |= name.equalsIgnoreCase("Transfer-Encoding");
		}
		int status = response ? Integer.parseInt(first.split(" ")[1]) : 0;
		byte[] body = new byte[0];
		if (chunked) {
			ByteArrayOutputStream whole = new ByteArrayOutputStream();
			for (int size = Integer.parseInt(readLine(input), 16); size > 0; size = Integer
				.parseInt(readLine(input), 16)) {
				whole.write(input.readNBytes(size));
				readLine(input);
			}
			readLine(input);
			body = whole.toByteArray();
		}
		else if (length > 0) {
			body = input.readNBytes(length);
			if (body.length < length) {
				throw new EOFException("the body is cut");
			}
		}
		if (!response) {
			String[] words = first.split(" ");
			fields.addFirst(words[1]);
			fields.addFirst(":path");
			fields.addFirst(words[0]);
			fields.addFirst(":method");
		}
		return new Answer(status, fields, body);
	}

	// ------------------------------------------------------------------ workers

	/** What a worker does with a request, once it runs it. */
	interface Work {

		void run(Worker worker, Answer request, OutputStream output) throws IOException, InterruptedException;

	}

	/** Run of a request at a worker, as the worker saw it. */
	record Run(String worker, String id, String path, int bytes, double seconds) {
	}

	final List<Run> runs = new CopyOnWriteArrayList<>();

	final Map<String, String> signatures = new ConcurrentHashMap<>();

	final class Worker implements AutoCloseable {

		final Daemon node;

		final String instanceId;

		final long born = System.currentTimeMillis();

		final Work work;

		final java.util.concurrent.Semaphore slots;

		final int slotCount;

		private final ServerSocket server;

		private final java.util.Set<Socket> connections = ConcurrentHashMap.newKeySet();

		private final AtomicLong sequence = new AtomicLong();

		volatile String state = "ready";

		volatile boolean announcing = true;

		/** Whether the worker has deregistered: its health path answers 503, its answers end their connections. */
		volatile boolean leaving;

		volatile boolean closed;

		Worker(Daemon node, int slotCount, Work work) throws IOException {
			this.node = node;
			this.work = work;
			this.slotCount = slotCount;
			this.slots = new java.util.concurrent.Semaphore(slotCount, true);
			this.instanceId = "i-" + newId().substring(0, 10);
			this.server = new ServerSocket();
			this.server.setReuseAddress(true);
			this.server.bind(new InetSocketAddress(node.address, APPLICATION), 256);
			Thread.ofVirtual().start(this::accept);
			Thread.ofVirtual().start(this::announce);
			Kit.this.workers.add(this);
		}

		private void accept() {
			while (!this.closed) {
				try {
					Socket socket = this.server.accept();
					Thread.ofVirtual().start(() -> serve(socket));
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void serve(Socket socket) {
			this.connections.add(socket);
			try (socket) {
				socket.setTcpNoDelay(true);
				InputStream input = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
				OutputStream output = socket.getOutputStream();
				while (!this.closed) {
					Answer request = readMessage(input, false);
					if (request.field(":path").equals("/health")) {
						this.slots.acquire();
						this.slots.release();
						write(output, this.leaving ? 503 : 200,
								List.of("X-Instance-Id", this.instanceId, "X-Server-Load", load()), new byte[0]);
						continue;
					}
					String expected = request.field("X-Expected-Instance");
					String id = request.field("X-Request-Id");
					if (!expected.isEmpty() && !expected.equals(this.instanceId)) {
						write(output, 421, List.of("X-Request-Id", id, "X-Not-Executed", "1"), new byte[0]);
						continue;
					}
					this.slots.acquire();
					try {
						Kit.this.runs.add(new Run(this.instanceId, id, request.field(":path"), request.body.length,
								(System.nanoTime() - Kit.this.startNanos) / 1e9));
						log("worker " + this.instanceId + " at " + this.node.name + " runs " + id + " "
								+ request.field(":method") + " " + request.field(":path") + ", " + request.body.length
								+ " bytes");
						this.work.run(this, request, output);
					}
					finally {
						this.slots.release();
					}
				}
			}
			catch (IOException | RuntimeException ex) {
				// The caller has closed the connection.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			finally {
				this.connections.remove(socket);
			}
		}

		/** Ends the worker process: all its connections end. */
		void exit() throws IOException {
			close();
			for (Socket socket : this.connections) {
				socket.close();
			}
		}

		void answer(OutputStream output, Answer request, int status, byte[] body) throws IOException {
			String id = request.field("X-Request-Id");
			String signature = "s." + this.instanceId + "." + id;
			Kit.this.signatures.put(id, signature);
			List<String> fields = new ArrayList<>(
					List.of("X-Request-Id", id, "X-Response-Signature", signature, "X-Server-Load", load()));
			if (this.leaving) {
				fields.addAll(List.of("Connection", "close"));
			}
			write(output, status, fields, body);
			if (this.leaving) {
				throw new EOFException("a leaving worker ends its connections");
			}
		}

		private String load() {
			return (this.slotCount - this.slots.availablePermits()) + "," + this.slots.getQueueLength() + ","
					+ this.slotCount;
		}

		void write(OutputStream output, int status, List<String> fields, byte[] body) throws IOException {
			StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
			for (int index = 0; index < fields.size(); index += 2) {
				head.append(fields.get(index)).append(": ").append(fields.get(index + 1)).append("\r\n");
			}
			head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
			byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
			byte[] whole = Arrays.copyOf(start, start.length + body.length);
			System.arraycopy(body, 0, whole, start.length, body.length);
			output.write(whole);
			output.flush();
		}

		private void announce() {
			while (!this.closed) {
				if (this.announcing) {
					say(heartbeat());
				}
				try {
					Thread.sleep(HEARTBEAT_MILLIS);
				}
				catch (InterruptedException ex) {
					return;
				}
			}
		}

		String heartbeat() {
			Map<String, Object> info = new LinkedHashMap<>();
			info.put("service", this.node.service);
			info.put("version", "v1");
			info.put("zone", this.node.zone());
			info.put("slots", this.slotCount);
			Map<String, Object> status = new LinkedHashMap<>();
			status.put("state", this.state);
			status.put("sequence_number", this.sequence.incrementAndGet());
			status.put("cold_remaining_ms", 0);
			Map<String, Object> beat = new LinkedHashMap<>();
			beat.put("born", this.born);
			beat.put("address", this.node.address + ":" + APPLICATION);
			beat.put("instance_info", info);
			beat.put("status", status);
			return json(beat);
		}

		/** Sends a heartbeat. Returns whether it was acknowledged. */
		boolean say(String beat) {
			return post("/lavenderroad/Instances.Heartbeat/" + this.instanceId, beat);
		}

		boolean deregister() {
			this.leaving = true;
			return post("/lavenderroad/Instances.Deregister/" + this.instanceId, json(Map.of("born", this.born)));
		}

		private boolean post(String path, String body) {
			try (Client client = new Client(Kit.this, this.node.address, CONTROL_PLANE)) {
				Answer answer = client.call("POST", path, List.of("Host", "x", "Content-Type", "application/json"),
						body.getBytes(StandardCharsets.UTF_8), 1_000);
				return answer != null && answer.status / 100 == 2;
			}
			catch (IOException ex) {
				return false;
			}
		}

		@Override
		public void close() throws IOException {
			this.closed = true;
			this.server.close();
		}

	}

	// ------------------------------------------------------------------ end

	/** Ends all processes of this test, by their ids. */
	@Override
	public synchronized void close() {
		if (this.closing) {
			return;
		}
		this.closing = true;
		for (Worker worker : this.workers) {
			try {
				worker.close();
			}
			catch (IOException ex) {
				// Closed already.
			}
		}
		for (Daemon daemon : this.daemons) {
			if (daemon.process != null) {
				daemon.process.destroyForcibly();
			}
		}
		for (Daemon daemon : this.daemons) {
			try {
				if (daemon.process != null) {
					daemon.process.waitFor(5, TimeUnit.SECONDS);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		if (System.getenv("KEEP") == null) {
			try (Stream<Path> files = Files.walk(this.folder)) {
				files.sorted(java.util.Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
			}
			catch (IOException ex) {
				// The temporary folder stays.
			}
		}
	}

	static void pause(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
