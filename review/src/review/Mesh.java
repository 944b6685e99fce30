package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment of the project's own processes on loopback addresses, one address for each machine. The commands
 * and settings templates are those of {@code deploy/system.toml}.
 */
final class Mesh implements AutoCloseable {

	static final int FRAMES_PORT = 17_380;

	static final int ADMIN_PORT = 17_395;

	static final int READINESS_PORT = 18_141;

	static final int CONTROL_PORT = 18_144;

	static final int WORKER_PORT = 18_145;

	static final int INBOUND_PORT = 18_146;

	static final int OUTBOUND_PORT = 18_147;

	static final int HEARTBEAT_MILLIS = 1_500;

	static final int GRACE_SECONDS = 6;

	/**
	 * A machine: {@code role} is "node" or "control".
	 */
	record Machine(String name, String role, String address, String zone, String service) {

		InetSocketAddress outbound() {
			return new InetSocketAddress(this.address, OUTBOUND_PORT);
		}

		InetSocketAddress control() {
			return new InetSocketAddress(this.address, CONTROL_PORT);
		}

		InetSocketAddress readiness() {
			return new InetSocketAddress(this.address, READINESS_PORT);
		}

	}

	final Recorder record;

	final List<Machine> controls = new ArrayList<>();

	final List<Machine> nodes = new ArrayList<>();

	private final Path folder;

	private final String network = "127." + ThreadLocalRandom.current().nextInt(20, 250) + "."
			+ ThreadLocalRandom.current().nextInt(1, 250) + ".";

	private final Map<String, Process> processes = new TreeMap<>();

	private final int toleratedLosses;

	private List<String> seeds = List.of();

	private int lastHost;

	Mesh(Recorder record, int toleratedLosses) throws IOException {
		this.record = record;
		this.toleratedLosses = toleratedLosses;
		this.folder = Files.createTempDirectory("review-");
		Runtime.getRuntime().addShutdownHook(new Thread(() -> endAll(0)));
		Thread.ofPlatform().daemon().start(() -> {
			sleep(112_000);
			System.out.println("the case took too long");
			Runtime.getRuntime().halt(endAll(2));
		});
	}

	Machine addControl(String zone) throws IOException {
		Machine machine = new Machine("core-" + (this.lastHost + 1), "control", nextAddress(), zone, "");
		this.controls.add(machine);
		return machine;
	}

	Machine addNode(String zone, String service) throws IOException {
		Machine machine = new Machine("sidecar-" + (this.lastHost + 1), "node", nextAddress(), zone, service);
		this.nodes.add(machine);
		return machine;
	}

	/**
	 * Starts all machines for the first time. The seeds are three of the control members.
	 */
	void startAll() throws IOException {
		this.seeds = this.controls.stream().limit(3).map((machine) -> machine.address() + ":" + CONTROL_PORT).toList();
		for (Machine machine : this.controls) {
			start(machine, true);
		}
		for (Machine machine : this.nodes) {
			start(machine, true);
		}
	}

	/**
	 * Names other seeds in the settings of later starts.
	 */
	void seeds(List<Machine> machines) {
		this.seeds = machines.stream().map((machine) -> machine.address() + ":" + CONTROL_PORT).toList();
	}

	void start(Machine machine, boolean firstStart) throws IOException {
		Path settings = this.folder.resolve(machine.name() + ".yml");
		Files.writeString(settings,
				Template.fill(Files.readString(Path.of("deploy", machine.role() + ".yml")), fields(machine, firstStart)));
		ProcessBuilder builder = new ProcessBuilder(command(machine.role()));
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("LAVENDERROAD_BOOT", settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect
			.appendTo(this.folder.resolve(machine.name() + ".log").toFile()));
		this.record.line("start %s %s at %s, first_start = %s", machine.role(), machine.name(), machine.address(),
				firstStart);
		synchronized (this.processes) {
			this.processes.put(machine.name(), builder.start());
		}
	}

	boolean isRunning(Machine machine) {
		return process(machine).isAlive();
	}

	/**
	 * Sends SIGTERM.
	 */
	void terminate(Machine machine) {
		this.record.line("SIGTERM to %s", machine.name());
		process(machine).destroy();
	}

	/**
	 * Sends SIGKILL and waits for the end.
	 */
	void kill(Machine machine) throws InterruptedException {
		this.record.line("SIGKILL to %s", machine.name());
		process(machine).destroyForcibly().waitFor();
	}

	boolean awaitEnd(Machine machine, long millis) throws InterruptedException {
		return process(machine).waitFor(millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Empties the data directory of a machine whose process has ended.
	 */
	void loseDisk(Machine machine) throws IOException {
		this.record.line("%s loses its disk", machine.name());
		deleteTree(dataFolder(machine));
	}

	long pid(Machine machine) {
		return process(machine).pid();
	}

	void signal(Machine machine, String name) throws IOException, InterruptedException {
		this.record.line("SIG%s to %s", name, machine.name());
		new ProcessBuilder("kill", "-" + name, Long.toString(pid(machine))).inheritIO().start().waitFor();
	}

	String log(Machine machine) throws IOException {
		return Files.readString(this.folder.resolve(machine.name() + ".log"), StandardCharsets.UTF_8);
	}

	void recordLog(Machine machine, String pattern) throws IOException {
		Pattern wanted = Pattern.compile(pattern);
		for (String line : log(machine).split("\n")) {
			if (wanted.matcher(line).find()) {
				this.record.line("log of %s: %s", machine.name(), line);
			}
		}
	}

	/**
	 * Sends an order of the operator to the control members, in turn, and follows redirects. Returns empty if no member
	 * gave a clear answer in time.
	 */
	Optional<Http.Message> order(String method, String path, Map<String, String> headers, String body,
			long timeoutMillis) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		int turn = 0;
		while (System.nanoTime() < end) {
			Machine machine = this.controls.get(turn % this.controls.size());
			turn++;
			try {
				Http.Message answer = follow(machine.control(), method, path, headers, body);
				if (answer.status() < 500 && answer.status() != 408 && answer.status() != 429) {
					return Optional.of(answer);
				}
			}
			catch (IOException ex) {
				// The next member is asked.
			}
			sleep(100);
		}
		return Optional.empty();
	}

	/**
	 * Replaces the configuration and fails the case as not runnable if it is not acknowledged.
	 */
	void replace(int base, String configuration) {
		Optional<Http.Message> answer = order("POST", "/lavenderroad/Configuration.Replace",
				Map.of("X-Base-Version", "r" + base, "Content-Type", "application/json"), configuration, 20_000);
		this.record.line("Configuration.Replace on r%d: %s", base,
				answer.map((message) -> message.status() + " " + message.text().strip()).orElse("no clear answer"));
		if (answer.isEmpty() || answer.get().status() != 200) {
			throw new CannotRun("the configuration was not acknowledged");
		}
	}

	private static Http.Message follow(InetSocketAddress first, String method, String path,
			Map<String, String> headers, String body) throws IOException {
		InetSocketAddress address = first;
		Http.Message answer = null;
		for (int hop = 0; hop < 3; hop++) {
			answer = Http.exchange(address, method, path, "control", headers, body.getBytes(StandardCharsets.UTF_8),
					6_000);
			if (answer.status() != 307) {
				return answer;
			}
			Matcher location = Pattern.compile("http://([0-9.]+):([0-9]+)/").matcher(answer.header("Location"));
			if (!location.find()) {
				throw new IOException("redirect without an address");
			}
			address = new InetSocketAddress(location.group(1), Integer.parseInt(location.group(2)));
		}
		return answer;
	}

	/**
	 * Waits until nodes report that they are ready.
	 */
	void awaitReady(List<Machine> machines, long timeoutMillis) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		for (Machine machine : machines) {
			while (!isReady(machine)) {
				if (System.nanoTime() > end) {
					throw new CannotRun(machine.name() + " was not ready in time");
				}
				sleep(50);
			}
		}
	}

	boolean isReady(Machine machine) {
		try {
			return Http.exchange(machine.readiness(), "GET", "/lavenderroad/readiness", "node", Map.of(), new byte[0],
					1_000)
				.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		endAll(0);
	}

	private int endAll(int code) {
		killAll();
		try {
			if (System.getenv("KEEP") == null) {
				deleteTree(this.folder);
			}
			else {
				System.out.println("kept " + this.folder);
			}
		}
		catch (IOException ex) {
			System.out.println("cannot delete " + this.folder);
		}
		return code;
	}

	private void killAll() {
		synchronized (this.processes) {
			this.processes.values().forEach(Process::destroyForcibly);
			for (Process process : this.processes.values()) {
				try {
					process.waitFor();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}
	}

	private Process process(Machine machine) {
		synchronized (this.processes) {
			return this.processes.get(machine.name());
		}
	}

	private Path dataFolder(Machine machine) {
		return this.folder.resolve(machine.name() + "-data");
	}

	private Map<String, Object> fields(Machine machine, boolean firstStart) throws IOException {
		Map<String, Object> fields = new TreeMap<>();
		fields.put("node_name", machine.name());
		fields.put("ip_address", machine.address());
		fields.put("zone", machine.zone());
		fields.put("region", "local");
		fields.put("internal_port_range", List.of(FRAMES_PORT, ADMIN_PORT));
		fields.put("seed_addresses", this.seeds);
		fields.put("first_start", firstStart);
		fields.put("heartbeat_interval_ms", HEARTBEAT_MILLIS);
		fields.put("application_address", machine.address() + ":" + WORKER_PORT);
		fields.put("service", machine.service());
		fields.put("listen_addresses",
				Map.of("inbound", machine.address() + ":" + INBOUND_PORT, "outbound",
						machine.address() + ":" + OUTBOUND_PORT, "readiness_address",
						machine.address() + ":" + READINESS_PORT, "control_plane", machine.address() + ":" + CONTROL_PORT));
		fields.put("bounds", Map.of("grace_period_s", GRACE_SECONDS));
		fields.put("fault_tolerance", Map.of("machines", this.toleratedLosses));
		if (machine.role().equals("control")) {
			Files.createDirectories(dataFolder(machine));
			fields.put("data_directory", dataFolder(machine).toString());
		}
		return fields;
	}

	private static List<String> command(String role) throws IOException {
		Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"")
			.matcher(Files.readString(Path.of("deploy", "system.toml")));
		if (!run.find()) {
			throw new CannotRun("deploy/system.toml has no command for " + role);
		}
		return List.of(run.group(1).split(" "));
	}

	private String nextAddress() throws IOException {
		this.lastHost++;
		String address = this.network + this.lastHost;
		for (int port : List.of(FRAMES_PORT, ADMIN_PORT, READINESS_PORT, CONTROL_PORT, WORKER_PORT, OUTBOUND_PORT)) {
			try (ServerSocket probe = new ServerSocket()) {
				probe.setReuseAddress(true);
				probe.bind(new InetSocketAddress(address, port));
			}
		}
		return address;
	}

	private static void deleteTree(Path root) throws IOException {
		if (!Files.exists(root)) {
			return;
		}
		try (Stream<Path> files = Files.walk(root)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
	}

	/**
	 * The case could not run.
	 */
	static final class CannotRun extends RuntimeException {

		private static final long serialVersionUID = 1L;

		CannotRun(String message) {
			super(message);
		}

	}

}
