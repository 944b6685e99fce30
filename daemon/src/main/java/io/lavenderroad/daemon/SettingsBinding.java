package io.lavenderroad.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.regex.Pattern;

import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.Problem;
import io.lavenderroad.core.settings.YamlDocument;
import io.lavenderroad.core.settings.YamlNode;
import io.lavenderroad.daemon.DaemonSettings.BackendSettings;
import io.lavenderroad.daemon.DaemonSettings.CallSettings;
import io.lavenderroad.daemon.DaemonSettings.GroupSettings;
import io.lavenderroad.daemon.DaemonSettings.Listeners;
import io.lavenderroad.daemon.DaemonSettings.LogSettings;
import io.lavenderroad.daemon.DaemonSettings.MemberSettings;
import io.lavenderroad.daemon.DaemonSettings.Ports;
import io.lavenderroad.daemon.DaemonSettings.ShutdownSettings;
import io.lavenderroad.daemon.DaemonSettings.TlsSettings;
import io.lavenderroad.policy.calls.RetryBudget;
import io.vavr.collection.Seq;
import io.vavr.control.Either;

/**
 * Reads and validates the settings file of a daemon. All problems are reported together.
 */
public final class SettingsBinding {

	/**
	 * Role of a control member.
	 */
	public static final String CONTROL_ROLE = "control";

	/**
	 * Role of a node.
	 */
	public static final String NODE_ROLE = "node";

	private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9-]{0,62}");

	private static final Pattern VERSION = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

	private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";

	private static final Pattern ADDRESS = Pattern.compile("(" + OCTET + "[.]){3}" + OCTET);

	private static final Pattern SOCKET_ADDRESS = Pattern.compile(ADDRESS.pattern() + ":[1-9][0-9]{0,4}");

	private static final Pattern URL_PATH = Pattern.compile("/[!-~]{0,200}");

	private static final Pattern FILE_PATH = Pattern.compile("[^\\x00]{1,400}");

	private static final String NAME_ALLOWED = "a name of lower-case letters, digits and hyphens, at most 63 characters";

	private static final String SOCKET_ADDRESS_ALLOWED = "an IP address and a port, such as 127.0.0.1:7400";

	private static final int MAXIMUM_PORT = 65_535;

	private static final int MAXIMUM_MEMBERS = 7;

	private static final int DEFAULT_CAPACITY = 100;

	private static final int MILLIS_PER_SECOND = 1_000;

	private SettingsBinding() {
	}

	/**
	 * Reads a settings file.
	 * @param file the file
	 * @param roles names of the registered roles
	 * @return the settings, or all problems
	 */
	public static Either<Seq<Problem>, DaemonSettings> readFile(Path file, Collection<String> roles) {
		return YamlDocument.readFile(file, (root) -> bind(root, roles));
	}

	/**
	 * Reads settings from a text.
	 * @param source name of the source for locations
	 * @param text the YAML document
	 * @param roles names of the registered roles
	 * @return the settings, or all problems
	 */
	public static Either<Seq<Problem>, DaemonSettings> read(String source, String text, Collection<String> roles) {
		return YamlDocument.read(source, text, (root) -> bind(root, roles));
	}

	private static DaemonSettings bind(YamlNode root, Collection<String> roles) {
		DaemonSettings.Builder builder = DaemonSettings.builder();
		String role = root.child("role").oneOf(roles, null);
		builder.identity(name(root.child("cluster")), name(root.child("id")), role);
		String address = address(root.child("address"));
		Ports ports = ports(root.child("ports"), root.child("listeners").child("http").isPresent());
		builder.location(name(root.child("region")), name(root.child("failure-domain")), address, ports);
		Listeners listeners = listeners(root.child("listeners"));
		builder.listeners(listeners);
		builder.failureDomains(failureDomains(root.child("failure-domains"), role));
		builder.seeds(seeds(root, role));
		builder.dataFolder(dataFolder(root.child("data-folder"), role));
		builder.log(log(root.child("log")));
		builder.backend(backend(root.child("backend"), role, address));
		builder.members(members(root.child("control"), role));
		builder.group(group(root.child("group"), role));
		builder.calls(calls(root.child("calls")));
		builder.shutdown(shutdown(root.child("shutdown")));
		builder.interfaceName(root.child("interface").text().orElse(null));
		builder.tls(tls(root.child("tls")));
		root.rejectUnknownKeys();
		return builder.build();
	}

	private static String name(YamlNode node) {
		return node.requiredText(NAME_ALLOWED, NAME);
	}

	private static String address(YamlNode node) {
		return node.requiredText("an IP address such as 127.0.0.1", ADDRESS);
	}

	private static Ports ports(YamlNode node, boolean separateHttpListener) {
		int frames = port(node.child("frames"));
		int framesBind = node.child("frames-bind").integer(1, MAXIMUM_PORT, OptionalInt.of(frames));
		int http = separateHttpListener ? 0 : port(node.child("http"));
		int admin = port(node.child("admin"));
		if (frames == http || http == admin || frames == admin) {
			node.addProblem(frames + ", " + http + " and " + admin, "three different ports");
		}
		node.rejectUnknownKeys();
		return new Ports(frames, framesBind, http, admin);
	}

	private static int port(YamlNode node) {
		return node.integer(1, MAXIMUM_PORT, OptionalInt.empty());
	}

	private static List<InetSocketAddress> seeds(YamlNode root, String role) {
		YamlNode node = root.child("seeds");
		// The seed port replaces the ports of the seeds, so that the address list of
		// another service on the same VMs can be used.
		YamlNode seedPortNode = root.child("seed-port");
		OptionalInt seedPort = seedPortNode.isPresent() ? OptionalInt.of(port(seedPortNode)) : OptionalInt.empty();
		List<InetSocketAddress> seeds = new ArrayList<>();
		for (YamlNode item : node.items()) {
			String text = item.requiredText(SOCKET_ADDRESS_ALLOWED, SOCKET_ADDRESS);
			if (!text.isEmpty()) {
				InetSocketAddress seed = parseSocketAddress(text);
				seeds.add(new InetSocketAddress(seed.getAddress(), seedPort.orElse(seed.getPort())));
			}
		}
		if (role.equals(NODE_ROLE) && node.items().isEmpty()) {
			node.addProblem("no seed", "the frame address of at least one control member");
		}
		return seeds;
	}

	// A mapping of failure domains to regions is accepted like a list of failure domains.
	private static Set<String> failureDomains(YamlNode node, String role) {
		if (node.isPresent() && !role.equals(CONTROL_ROLE)) {
			node.addProblem("failure domains", "no such key for this role");
		}
		Set<String> failureDomains = new HashSet<>();
		if (node.isMapping()) {
			node.keys().forEach((key) -> {
				node.child(key).text();
				failureDomains.add(key);
			});
		}
		else {
			node.items().forEach((item) -> failureDomains.add(name(item)));
		}
		return failureDomains;
	}

	private static Path dataFolder(YamlNode node, String role) {
		if (!node.isPresent() && !role.equals(CONTROL_ROLE)) {
			return null;
		}
		return Path.of(node.requiredText("a folder; a control member needs one", FILE_PATH));
	}

	private static LogSettings log(YamlNode node) {
		String level = node.child("level").oneOf(List.of("trace", "debug", "info", "warn", "error"), "info");
		YamlNode fileNode = node.child("file");
		Optional<Path> file = fileNode.isPresent()
				? Optional.of(fileNode.requiredText("a file", FILE_PATH)).map(Path::of) : Optional.empty();
		node.rejectUnknownKeys();
		return new LogSettings(level, file);
	}

	private static Listeners listeners(YamlNode node) {
		Listeners listeners = new Listeners(listener(node.child("http")), listener(node.child("announcements")),
				listener(node.child("readiness")));
		node.rejectUnknownKeys();
		return listeners;
	}

	private static Optional<InetSocketAddress> listener(YamlNode node) {
		return node.isPresent() ? Optional.of(node.requiredText(SOCKET_ADDRESS_ALLOWED, SOCKET_ADDRESS))
			.filter((text) -> !text.isEmpty())
			.map(SettingsBinding::parseSocketAddress) : Optional.empty();
	}

	private static GroupSettings group(YamlNode node, String role) {
		if (!node.isPresent()) {
			return null;
		}
		if (!role.equals(CONTROL_ROLE)) {
			node.addProblem("a control group", "no such key for this role");
		}
		int losses = node.child("tolerated-losses").integer(0, MAXIMUM_MEMBERS / 2, OptionalInt.of(0));
		GroupSettings group = new GroupSettings(node.child("founds").booleanValue(false),
				(losses > 0) ? 2 * losses + 1 : MAXIMUM_MEMBERS);
		node.rejectUnknownKeys();
		return group;
	}

	private static CallSettings calls(YamlNode node) {
		CallSettings calls = new CallSettings(
				node.child("retry-burst").integer(0, 1_000, OptionalInt.of(RetryBudget.BURST)));
		node.rejectUnknownKeys();
		return calls;
	}

	private static ShutdownSettings shutdown(YamlNode node) {
		if (!node.isPresent()) {
			return ShutdownSettings.DEFAULT;
		}
		int gracePeriodMillis = MILLIS_PER_SECOND * node.child("grace-seconds").integer(1, 600, OptionalInt.empty());
		node.rejectUnknownKeys();
		return ShutdownSettings.forGracePeriod(gracePeriodMillis);
	}

	private static BackendSettings backend(YamlNode node, String role, String address) {
		if (!node.isPresent()) {
			if (role.equals(NODE_ROLE)) {
				node.addProblem("nothing", "the backend server beside this node");
			}
			return null;
		}
		String service = name(node.child("service"));
		int announceIntervalMillis = node.child("announces-every-millis").integer(0, 600_000, OptionalInt.of(0));
		if (announceIntervalMillis > 0) {
			Optional<InetSocketAddress> listener = listener(node.child("address"));
			if (listener.isEmpty()) {
				node.child("address").addProblem("nothing", SOCKET_ADDRESS_ALLOWED);
			}
			node.rejectUnknownKeys();
			return new BackendSettings(service, "", listener.orElse(null), 1, DEFAULT_CAPACITY, "", "",
					announceIntervalMillis);
		}
		String version = node.child("version").requiredText("a version of letters, digits, dots and hyphens", VERSION);
		int port = port(node.child("http-port"));
		InetSocketAddress backendAddress = (address.isEmpty() || port < 1) ? null
				: parseSocketAddress(address + ":" + port);
		BackendSettings backend = new BackendSettings(service, version, backendAddress,
				node.child("slots").integer(1, 10_000, OptionalInt.empty()),
				node.child("capacity").integer(1, 10_000, OptionalInt.of(DEFAULT_CAPACITY)),
				path(node.child("health-path"), "/health"), path(node.child("load-path"), "/load"), 0);
		node.rejectUnknownKeys();
		return backend;
	}

	private static TlsSettings tls(YamlNode node) {
		if (!node.isPresent()) {
			return null;
		}
		TlsSettings tls = new TlsSettings(file(node.child("key-store")), file(node.child("trust-store")),
				file(node.child("password-file")));
		node.rejectUnknownKeys();
		return tls;
	}

	private static Path file(YamlNode node) {
		return Path.of(node.requiredText("a file", FILE_PATH));
	}

	private static String path(YamlNode node, String fallback) {
		return node.isPresent() ? node.requiredText("a path that starts with a slash", URL_PATH) : fallback;
	}

	private static List<MemberSettings> members(YamlNode node, String role) {
		List<MemberSettings> members = new ArrayList<>();
		Set<String> ids = new HashSet<>();
		YamlNode list = node.child("members");
		for (YamlNode item : list.items()) {
			MemberSettings member = new MemberSettings(name(item.child("id")),
					item.child("address").requiredText(SOCKET_ADDRESS_ALLOWED, SOCKET_ADDRESS));
			item.rejectUnknownKeys();
			if (!ids.add(member.id())) {
				item.addProblem("member '" + member.id() + "' a second time", "each member once");
			}
			members.add(member);
		}
		if (members.size() > MAXIMUM_MEMBERS) {
			list.addProblem(members.size() + " members", "at most " + MAXIMUM_MEMBERS);
		}
		if (node.isPresent() && !role.equals(CONTROL_ROLE)) {
			node.addProblem("control members", "no such key for this role; name them in seeds");
		}
		node.rejectUnknownKeys();
		return members;
	}

	/**
	 * Parses {@code ip:port} without a name lookup.
	 * @param text the validated text
	 * @return the address
	 */
	public static InetSocketAddress parseSocketAddress(String text) {
		int colon = text.lastIndexOf(':');
		try {
			InetAddress host = InetAddress.ofLiteral(text.substring(0, colon));
			return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
		}
		catch (IllegalArgumentException | IndexOutOfBoundsException ex) {
			throw new LavenderroadException("'" + text + "' is not " + SOCKET_ADDRESS_ALLOWED, ex);
		}
	}

}
