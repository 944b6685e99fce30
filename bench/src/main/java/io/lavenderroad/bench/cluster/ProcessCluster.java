package io.lavenderroad.bench.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.Location;

/**
 * A complete deployment on loopback addresses: control members, nodes and stub backend
 * servers as separate processes. Each VM of the deployment has its own loopback address.
 * The frames port of each daemon is behind a {@link FaultProxy}, so that daemons can be
 * cut off.
 */
public final class ProcessCluster implements AutoCloseable {

	/**
	 * Port for operators on control members, and for callers on nodes.
	 */
	public static final int HTTP_PORT = 7480;

	/**
	 * Port for metrics, health and drain.
	 */
	public static final int ADMIN_PORT = 7490;

	private static final int FRAMES_PORT = 7400;

	private static final int PROXIED_PORT = 7401;

	private static final int BACKEND_PORT = 9001;

	private static final int FIRST_CONTROL_HOST = 11;

	private static final int MAXIMUM_HOST = 250;

	private final String name;

	private final int network;

	private final Path home;

	private final Path folder;

	private final List<String> failureDomains;

	private final List<String> initialMembers = new ArrayList<>();

	private final Map<String, DaemonProcess> processes = new TreeMap<>();

	private final Map<String, DaemonProcess> backends = new TreeMap<>();

	private final Map<String, String> addresses = new TreeMap<>();

	private final Map<String, FaultProxy> proxies = new TreeMap<>();

	private List<String> daemonCommand;

	private int controlCount;

	private int nodeCount;

	/**
	 * Prepares an empty deployment.
	 * @param name name of the cluster and of its region
	 * @param network second octet of its loopback addresses, from 1 to 254; deployments
	 * with different networks can run at the same time
	 * @param home folder of the built repository
	 * @param folder folder for settings, data and logs
	 * @param failureDomains names of the failure domains
	 */
	public ProcessCluster(String name, int network, Path home, Path folder, List<String> failureDomains) {
		this.name = name;
		this.network = network;
		this.home = home;
		this.folder = folder;
		this.failureDomains = List.copyOf(failureDomains);
		this.daemonCommand = List.of(home.resolve("bin/lavenderroadd").toString());
		try {
			Files.createDirectories(folder);
		}
		catch (IOException ex) {
			throw new LavenderroadException("cannot create the run folder", ex, Location.of(folder.toString()));
		}
	}

	/**
	 * Sets the command that starts a daemon, in place of the launcher in {@code bin/}.
	 * @param command program and its arguments before those of the daemon
	 */
	public void daemonCommand(List<String> command) {
		this.daemonCommand = List.copyOf(command);
	}

	/**
	 * Starts the initial control members, distributed over the failure domains.
	 * @param count number of members
	 */
	public void startControl(int count) {
		for (int index = 1; index <= count; index++) {
			String id = "control-" + index;
			this.addresses.put(id, address(0, FIRST_CONTROL_HOST + index - 1));
			this.initialMembers.add(id);
		}
		for (String id : this.initialMembers) {
			startControlMember(id, this.initialMembers);
		}
	}

	/**
	 * Starts a further control member, which is no member of the running group until an
	 * operator adds it.
	 * @return its id
	 */
	public String startAdditionalControlMember() {
		String id = "control-" + (this.controlCount + 1);
		this.addresses.put(id, address(0, FIRST_CONTROL_HOST + this.controlCount));
		startControlMember(id, List.of());
		return id;
	}

	/**
	 * Starts a backend server with its node.
	 * @param service service of the backend server
	 * @param version version of the backend server
	 * @param slots number of slots of the backend server
	 * @param backendArguments further arguments of the stub backend server
	 * @return id of the node
	 */
	public String startWorker(String service, String version, int slots, List<String> backendArguments) {
		String id = addNode();
		startBackend(id, service, version, slots, backendArguments);
		startNode(id, service, version, slots);
		return id;
	}

	/**
	 * Starts a node for a backend server that the caller runs at
	 * {@link #backendAddress(String)}.
	 * @param service service of the backend server
	 * @param version version of the backend server
	 * @param slots number of slots of the backend server
	 * @return id of the node
	 */
	public String startNode(String service, String version, int slots) {
		String id = addNode();
		startNode(id, service, version, slots);
		return id;
	}

	/**
	 * Returns the process of a daemon, running or ended.
	 * @param id id of the daemon
	 * @return the process
	 */
	public DaemonProcess process(String id) {
		return Optional.ofNullable(this.processes.get(id))
			.orElseThrow(() -> new LavenderroadException("no process '" + id + "' in " + this.processes.keySet()));
	}

	/**
	 * Returns the local backend server of a node.
	 * @param nodeId id of the node
	 * @return the process
	 */
	public DaemonProcess backend(String nodeId) {
		return Optional.ofNullable(this.backends.get(nodeId))
			.orElseThrow(() -> new LavenderroadException("no local backend server for node '" + nodeId + "'"));
	}

	/**
	 * Returns the ids of all daemons with a role.
	 * @param control true for control members, false for nodes
	 * @return the ids in alphabetical order
	 */
	public List<String> ids(boolean control) {
		return this.processes.keySet().stream().filter((id) -> id.startsWith("control-") == control).toList();
	}

	/**
	 * Returns the IP address of a VM.
	 * @param id id of the daemon on it
	 * @return the address
	 */
	public String address(String id) {
		return this.addresses.get(id);
	}

	/**
	 * Returns the addresses for operators.
	 * @return {@code ip:port} of each control member, separated by commas
	 */
	public String controlAddresses() {
		return ids(true).stream().map((id) -> address(id) + ":" + HTTP_PORT).collect(Collectors.joining(","));
	}

	/**
	 * Returns the address for callers of a node.
	 * @param id id of the node
	 * @return {@code ip:port}
	 */
	public String callerAddress(String id) {
		return address(id) + ":" + HTTP_PORT;
	}

	/**
	 * Returns the folder of settings, data and logs.
	 * @return the folder
	 */
	public Path folder() {
		return this.folder;
	}

	/**
	 * Returns the address of the local stub backend server of a node.
	 * @param nodeId id of the node
	 * @return {@code ip:port} of its HTTP server
	 */
	public String backendAddress(String nodeId) {
		return address(nodeId) + ":" + BACKEND_PORT;
	}

	/**
	 * Isolates a daemon from every other daemon in both directions, without closing
	 * connections.
	 * @param id id of the daemon
	 */
	public void cutOff(String id) {
		for (Map.Entry<String, String> other : this.addresses.entrySet()) {
			this.proxies.get(id).cut(other.getValue());
			Optional.ofNullable(this.proxies.get(other.getKey())).ifPresent((proxy) -> proxy.cut(address(id)));
		}
	}

	/**
	 * Restores all cut links.
	 */
	public void heal() {
		for (FaultProxy proxy : this.proxies.values()) {
			this.addresses.values().forEach(proxy::heal);
		}
	}

	/**
	 * Stops the traffic on the open connections to a daemon permanently. New connections
	 * work.
	 * @param id id of the daemon
	 */
	public void silenceConnections(String id) {
		this.proxies.get(id).silenceOpenConnections();
	}

	@Override
	public void close() {
		this.processes.values().forEach(DaemonProcess::kill);
		this.backends.values().forEach(DaemonProcess::kill);
		this.proxies.values().forEach(FaultProxy::close);
	}

	private String addNode() {
		int index = this.nodeCount++;
		String domain = this.failureDomains.get(index % this.failureDomains.size());
		String id = domain + "-" + (index + 1);
		this.addresses.put(id, address(1 + index / MAXIMUM_HOST, 1 + index % MAXIMUM_HOST));
		return id;
	}

	private void startNode(String id, String service, String version, int slots) {
		String domain = id.substring(0, id.lastIndexOf('-'));
		startProxy(id);
		String settings = commonSettings(id, "node", domain, PROXIED_PORT) + seeds() + """
				backend: { service: %s, version: %s, http-port: %d, slots: %d }
				""".formatted(service, version, BACKEND_PORT, slots);
		startDaemon(id, settings);
	}

	private void startControlMember(String id, List<String> members) {
		String domain = this.failureDomains.get(this.controlCount % this.failureDomains.size());
		this.controlCount++;
		startProxy(id);
		StringBuilder settings = new StringBuilder(commonSettings(id, "control", domain, PROXIED_PORT));
		settings.append("data-folder: ").append(this.folder.resolve(id)).append('\n');
		if (!members.isEmpty()) {
			settings.append("control:\n  members:\n");
			for (String member : members) {
				settings
					.append("    - { id: %s, address: \"%s:%d\" }\n".formatted(member, address(member), FRAMES_PORT));
			}
		}
		startDaemon(id, settings.toString());
	}

	private void startProxy(String id) {
		InetSocketAddress listen = new InetSocketAddress(address(id), FRAMES_PORT);
		try {
			this.proxies.put(id, FaultProxy.start(listen, new InetSocketAddress(address(id), PROXIED_PORT)));
		}
		catch (IOException ex) {
			throw new LavenderroadException("cannot listen at " + listen, ex);
		}
	}

	private void startBackend(String id, String service, String version, int slots, List<String> arguments) {
		List<String> command = new ArrayList<>(List.of(this.home.resolve("bin/stand-in-backend").toString(),
				"--address", address(id), "--port", String.valueOf(BACKEND_PORT), "--name",
				service + "/" + version + "/" + id, "--set", "slots=" + slots));
		command.addAll(arguments);
		this.backends.put(id, DaemonProcess.start(id + " backend", command, this.folder.resolve(id + ".backend.out")));
	}

	private void startDaemon(String id, String settings) {
		Path file = this.folder.resolve(id + ".yml");
		try {
			Files.writeString(file, settings);
		}
		catch (IOException ex) {
			throw new LavenderroadException("cannot write settings", ex, Location.of(file.toString()));
		}
		List<String> command = new ArrayList<>(this.daemonCommand);
		command.addAll(List.of("run", file.toString()));
		this.processes.put(id, DaemonProcess.start(id, command, this.folder.resolve(id + ".out")));
	}

	private String commonSettings(String id, String role, String domain, int framesBind) {
		return """
				cluster: %s
				id: %s
				role: %s
				region: %s
				failure-domain: %s
				address: %s
				ports: { frames: %d, frames-bind: %d, http: %d, admin: %d }
				log: { level: info, file: %s }
				""".formatted(this.name, id, role, this.name, domain, address(id), FRAMES_PORT, framesBind, HTTP_PORT,
				ADMIN_PORT, this.folder.resolve(id + ".log"));
	}

	private String seeds() {
		return this.initialMembers.stream()
			.map((id) -> "\"" + address(id) + ":" + FRAMES_PORT + "\"")
			.collect(Collectors.joining(", ", "seeds: [ ", " ]\n"));
	}

	private String address(int block, int host) {
		return "127." + this.network + "." + block + "." + host;
	}

}
