import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Control members and nodes as processes on loopback addresses, started with the commands and templates of the deploy
 * file. The platform's part (settings, signals, orders of the operator) is played here.
 */
final class Deployment implements AutoCloseable {

	static final int CONTROL_PORT = 8144;

	static final int WORKER_PORT = 8145;

	static final int OUTBOUND_PORT = 8147;

	static final int READINESS_PORT = 8141;

	private static final int FIRST_INTERNAL_PORT = 7380;

	private static final int LAST_INTERNAL_PORT = 7395;

	private static final int FIRST_CORE_HOST = 11;

	private static final int FIRST_NODE_HOST = 101;

	private static final long ORDER_MILLIS = 20_000;

	private final Path repository;

	private final Path folder = Files.createTempDirectory("review-3-");

	private final String network = freeNetwork();

	private final String description;

	private final int tolerated;

	private final List<String> coreAddresses = new ArrayList<>();

	private final Map<String, String> nodeAddresses = new LinkedHashMap<>();

	private final Map<String, Process> processes = new LinkedHashMap<>();

	Deployment(Path repository, int cores, int tolerated) throws IOException {
		this.repository = repository;
		this.tolerated = tolerated;
		this.description = Files.readString(repository.resolve("deploy/system.toml"));
		for (int index = 0; index < cores; index++) {
			this.coreAddresses.add(this.network + (FIRST_CORE_HOST + index));
		}
	}

	/** Ends all processes with this one, also when it is stopped from outside. */
	void endWithProcess() {
		Runtime.getRuntime()
			.addShutdownHook(new Thread(() -> this.processes.values().forEach(Process::destroyForcibly)));
	}

	/** Returns a new address for a machine beside which a worker of a service runs. */
	String addNode(String name) {
		String address = this.network + (FIRST_NODE_HOST + this.nodeAddresses.size());
		this.nodeAddresses.put(name, address);
		return address;
	}

	String address(String node) {
		return this.nodeAddresses.get(node);
	}

	void startCore(int index, boolean firstStart) throws IOException {
		Path data = Files.createDirectories(this.folder.resolve("disk-" + index));
		String address = this.coreAddresses.get(index);
		Map<String, String> values = values("core-" + index, address);
		values.put("data_directory", quote(data.toString()));
		values.put("first_start", Boolean.toString(firstStart));
		start("core-" + index, "control", values);
	}

	void startNode(String name, String service) throws IOException {
		String address = this.nodeAddresses.get(name);
		Map<String, String> values = values(name, address);
		values.put("service", quote(service));
		values.put("application_address", quote(address + ":" + WORKER_PORT));
		start(name, "node", values);
	}

	/** Sends a signal to a process that this deployment has started. */
	void signal(String name, String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.processes.get(name).pid())).start().waitFor();
	}

	boolean isAlive(String name) {
		return this.processes.get(name).isAlive();
	}

	void awaitEnd(String name) throws InterruptedException {
		this.processes.get(name).waitFor();
	}

	String log(String name) throws IOException {
		return Files.readString(this.folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1);
	}

	/** Sends an order of the operator until it gets a clear answer, following 307 to the leader. */
	Http.Answer order(String method, String path, String baseVersion, String body) throws InterruptedException {
		long end = System.currentTimeMillis() + ORDER_MILLIS;
		int next = 0;
		while (System.currentTimeMillis() < end) {
			String address = this.coreAddresses.get(next++ % this.coreAddresses.size());
			for (int hop = 0; hop < 3; hop++) {
				Map<String, String> fields = new LinkedHashMap<>();
				fields.put("Content-Type", "application/json");
				if (baseVersion != null) {
					fields.put("X-Base-Version", baseVersion);
				}
				Http.Answer answer = Http.once(address, CONTROL_PORT, method, path, fields,
						(body != null) ? body.getBytes(StandardCharsets.UTF_8) : null, 2_000);
				if (answer.status() == 307) {
					address = answer.field("location").replaceFirst("http://", "").replaceFirst(":.*", "");
					continue;
				}
				if (answer.status() >= 200 && answer.status() < 500) {
					return answer;
				}
				break;
			}
			Thread.sleep(100);
		}
		throw new IllegalStateException("no clear answer to " + method + " " + path);
	}

	void awaitReady(String name) throws InterruptedException {
		long end = System.currentTimeMillis() + ORDER_MILLIS;
		while (System.currentTimeMillis() < end) {
			if (Http.once(address(name), READINESS_PORT, "GET", "/lavenderroad/readiness", Map.of(), null, 1_000)
				.status() == 200) {
				return;
			}
			Thread.sleep(50);
		}
		throw new IllegalStateException(name + " does not become ready");
	}

	static String configuration(int version, Map<String, String> routes, String... services) {
		String tables = routes.entrySet()
			.stream()
			.map((route) -> quote(route.getKey()) + ":" + route.getValue())
			.collect(Collectors.joining(","));
		String named = Stream.of(services)
			.map((service) -> quote(service)
					+ ":{\"health_path\":\"/health\",\"connection_limit\":120,\"protocol\":\"h1\",\"transport_security\":false}")
			.collect(Collectors.joining(","));
		return "{\"version\":\"r" + version + "\",\"routes\":{" + tables + "},\"services\":{" + named
				+ "},\"limits\":{\"maximum_header_bytes\":16384,\"maximum_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
	}

	static String route(String host, String prefix, String kind, int timeoutMillis, int targetMillis, String service) {
		return "{\"host\":" + quote(host) + ",\"path_prefix\":" + quote(prefix) + ",\"kind\":" + quote(kind)
				+ ",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":" + targetMillis
				+ ",\"priority\":1,\"service\":" + quote(service) + ",\"maximum_attempts\":2}";
	}

	@Override
	public void close() throws IOException, InterruptedException {
		for (Process process : this.processes.values()) {
			process.destroyForcibly();
		}
		for (Process process : this.processes.values()) {
			process.waitFor(10, TimeUnit.SECONDS);
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
	}

	private Map<String, String> values(String name, String address) {
		String seeds = this.coreAddresses.stream()
			.limit(3)
			.map((core) -> quote(core + ":" + CONTROL_PORT))
			.collect(Collectors.joining(",", "[", "]"));
		Map<String, String> values = new LinkedHashMap<>();
		values.put("node_name", quote(name));
		values.put("region", quote("prairies"));
		values.put("zone", quote("regina"));
		values.put("zones", "{\"regina\":\"prairies\"}");
		values.put("ip_address", quote(address));
		values.put("internal_port_range.0", Integer.toString(FIRST_INTERNAL_PORT));
		values.put("internal_port_range.1", Integer.toString(LAST_INTERNAL_PORT));
		values.put("seed_addresses", seeds);
		values.put("listen_addresses.control_plane", quote(address + ":" + CONTROL_PORT));
		values.put("listen_addresses.outbound", quote(address + ":" + OUTBOUND_PORT));
		values.put("listen_addresses.readiness_address", quote(address + ":" + READINESS_PORT));
		values.put("fault_tolerance.machines", Integer.toString(this.tolerated));
		values.put("bounds.grace_period_s", "6");
		values.put("heartbeat_interval_ms", "1500");
		values.put("limits.file_descriptors", "4100");
		return values;
	}

	private void start(String name, String role, Map<String, String> values) throws IOException {
		String section = section(role);
		Path settings = this.folder.resolve(name + ".yml");
		Files.writeString(settings, fill(Files.readString(this.repository.resolve(text(section, "template"))), values));
		ProcessBuilder builder = new ProcessBuilder(fill(text(section, "run"), values).split(" "));
		builder.directory(this.repository.toFile());
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("LAVENDERROAD_BOOT", settings.toString());
		Matcher variable = Pattern.compile("([A-Z_]+) = \"([^\"]*)\"").matcher(section);
		while (variable.find()) {
			builder.environment().put(variable.group(1), fill(variable.group(2), values));
		}
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(name + ".log").toFile()));
		this.processes.put(name, builder.start());
	}

	private String section(String role) {
		int start = this.description.indexOf("[roles." + role + "]");
		int end = this.description.indexOf("[roles.", start + 1);
		return this.description.substring(start, (end < 0) ? this.description.length() : end);
	}

	private static String text(String section, String key) {
		Matcher matcher = Pattern.compile("(?m)^" + key + " = \"([^\"]*)\"").matcher(section);
		if (!matcher.find()) {
			throw new IllegalStateException("the deploy file has no " + key);
		}
		return matcher.group(1);
	}

	// The templates use plain placeholders only; the values are JSON already.
	private static String fill(String template, Map<String, String> values) {
		String text = template;
		for (Map.Entry<String, String> value : values.entrySet()) {
			text = text.replace("{{" + value.getKey() + "|json}}", value.getValue())
				.replace("{{" + value.getKey() + "}}", value.getValue());
		}
		if (text.contains("{{")) {
			throw new IllegalStateException("a placeholder is not filled: " + text);
		}
		return text;
	}

	private static String quote(String text) {
		return "\"" + text + "\"";
	}

	private static String freeNetwork() throws IOException {
		for (int attempt = 0; attempt < 50; attempt++) {
			ThreadLocalRandom random = ThreadLocalRandom.current();
			String candidate = "127." + random.nextInt(64, 120) + "." + random.nextInt(1, 250) + ".";
			boolean free = true;
			for (int port : new int[] { CONTROL_PORT, WORKER_PORT, OUTBOUND_PORT, FIRST_INTERNAL_PORT }) {
				try (ServerSocket probe = new ServerSocket()) {
					probe.bind(new InetSocketAddress(InetAddress.getByName(candidate + FIRST_NODE_HOST), port));
				}
				catch (IOException ex) {
					free = false;
				}
			}
			if (free) {
				return candidate;
			}
		}
		throw new IOException("no loopback network with free ports");
	}

}
