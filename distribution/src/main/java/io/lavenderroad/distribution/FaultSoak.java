package io.lavenderroad.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

import io.lavenderroad.distribution.LocalMesh.Await;
import io.lavenderroad.distribution.LocalMesh.Node;
import io.lavenderroad.distribution.LocalMesh.Root;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.MeshConfiguration;

/**
 * Runs a mesh under random faults from a seed and checks that versions never decrease,
 * that no node serves a version below the floor, that each active version is a published
 * one, and that all processes agree after the faults end.
 */
final class FaultSoak {

	private static final int NODES = 60;

	private static final int ROOTS = 3;

	private static final int SERVICES = 12;

	private static final long CONVERGENCE_TIMEOUT_MILLIS = 60_000;

	private static final long FREEZE_MILLIS = 6_000;

	private final LocalMesh mesh = new LocalMesh().withRelays();

	private final Random random;

	private final List<MeshConfiguration> history = new ArrayList<>();

	private final AtomicLong committed = new AtomicLong();

	private final Queue<String> violations = new ConcurrentLinkedQueue<>();

	private final Node[] nodes = new Node[NODES];

	private final long[] frozenMillis = new long[NODES];

	private int kills;

	private int freezes;

	private int stops;

	private int rootKills;

	private FaultSoak(long seed) {
		this.random = new Random(seed);
	}

	/**
	 * Runs the soak.
	 * @param seconds duration of the faults
	 * @param seed seed of the faults
	 * @return violations, empty if there are none
	 */
	static List<String> run(int seconds, long seed) {
		FaultSoak soak = new FaultSoak(seed);
		try {
			soak.runFaults(seconds);
			return List.copyOf(soak.violations);
		}
		finally {
			soak.mesh.close();
		}
	}

	private void runFaults(int seconds) {
		this.mesh.startRoots(ROOTS, this::floor);
		publish();
		for (int index = 0; index < NODES; index++) {
			start(index);
		}
		awaitConvergence("start");
		long endMillis = System.currentTimeMillis() + seconds * 1_000L;
		while (System.currentTimeMillis() < endMillis) {
			fault();
			pause(20 + this.random.nextInt(300));
		}
		for (int index = 0; index < NODES; index++) {
			if (this.frozenMillis[index] != 0) {
				restart(index);
			}
		}
		publish();
		awaitConvergence("end");
		System.out.println(String.format(Locale.ROOT,
				"%d versions, %d nodes killed, %d hung, %d stopped, %d roots killed: %d violations",
				this.history.size(), this.kills, this.freezes, this.stops, this.rootKills, this.violations.size()));
	}

	private void fault() {
		long now = System.currentTimeMillis();
		for (int index = 0; index < NODES; index++) {
			if (this.frozenMillis[index] != 0 && now - this.frozenMillis[index] > FREEZE_MILLIS) {
				restart(index);
			}
		}
		int index = this.random.nextInt(NODES);
		int kind = this.random.nextInt(100);
		if (kind < 60 || this.frozenMillis[index] != 0) {
			publish();
		}
		else if (kind < 78) {
			this.kills++;
			restart(index);
		}
		else if (kind < 86) {
			this.freezes++;
			this.nodes[index].freeze();
			this.frozenMillis[index] = now;
		}
		else if (kind < 96) {
			this.stops++;
			Node stopping = this.nodes[index];
			stopping.stop();
			start(index);
		}
		else {
			this.rootKills++;
			Root again = this.mesh.restartRoot(this.random.nextInt(ROOTS), this::floor);
			again.distribution().publish(this.history.getLast());
		}
	}

	private Optional<Long> floor() {
		return Optional.of(this.committed.get());
	}

	private void publish() {
		MeshConfiguration last = this.history.isEmpty() ? MeshConfiguration.EMPTY : this.history.getLast();
		MeshConfiguration fresh = ConvergenceBenchmark.services(SERVICES, this.random);
		String name = "service-" + this.random.nextInt(SERVICES);
		MeshConfiguration next = this.history.isEmpty() ? fresh
				: last.next(last.version() + 1, List.of(fresh.service(name).orElseThrow()), List.of());
		this.history.add(next);
		this.committed.set(next.version());
		this.mesh.roots().forEach((root) -> root.distribution().publish(next));
	}

	private void restart(int index) {
		this.nodes[index].kill();
		start(index);
	}

	private void start(int index) {
		this.frozenMillis[index] = 0;
		long floor = this.committed.get();
		Node node = this.mesh.node("node-" + index, "domain-" + index % 3, "service-" + index % SERVICES);
		AtomicLong last = new AtomicLong();
		this.nodes[index] = node;
		node.start();
		node.distribution().onChange(() -> node.distribution().configuration().ifPresent((present) -> {
			long before = last.getAndAccumulate(present.version(), Math::max);
			long again = node.version();
			if (again < before) {
				this.violations.add(node.id + " went from version " + before + " back to " + again);
			}
			if (present.version() < floor) {
				this.violations.add(node.id + " serves version " + present.version() + " below the floor " + floor);
			}
			if (!present.missingResources().isEmpty()) {
				this.violations.add(node.id + " misses " + present.missingResources());
			}
		}));
	}

	private void awaitConvergence(String step) {
		long startNanos = System.nanoTime();
		MeshConfiguration newest = this.history.getLast();
		List<Node> present = List.of(this.nodes);
		if (!Await.until(CONVERGENCE_TIMEOUT_MILLIS,
				() -> present.stream().allMatch((node) -> node.version() == newest.version()))) {
			present.stream()
				.filter((node) -> node.version() != newest.version())
				.forEach((node) -> this.violations.add(step + ": " + node.id + " stays at " + node.version() + " of "
						+ newest.version() + ", " + node.distribution().status()));
		}
		System.out.println(String.format(Locale.ROOT, "%s: newest version in force on all nodes after %.0f ms", step,
				(System.nanoTime() - startNanos) / 1e6));
		for (Node node : present) {
			MeshConfiguration held = node.distribution().configuration().orElse(MeshConfiguration.EMPTY);
			held.services().forEach((name, service) -> {
				if (!newest.service(name).equals(Optional.of(service))) {
					this.violations.add(step + ": " + node.id + " holds another " + name);
				}
			});
			checkEndpoints(step, node.id, node.distribution().registry(), held.services().keySet());
		}
		for (Root root : this.mesh.roots()) {
			checkEndpoints(step, root.id, root.distribution().registry(), newest.services().keySet());
		}
	}

	private void checkEndpoints(String step, String id, EndpointRegistry registry, Set<String> services) {
		Set<String> expected = new TreeSet<>();
		for (Node node : this.nodes) {
			Endpoint own = node.distribution().registry().find(node.id).orElseThrow();
			if (services.contains(own.service())) {
				expected.add(own.nodeId() + "/" + own.incarnation());
			}
		}
		boolean same = Await.until(CONVERGENCE_TIMEOUT_MILLIS,
				() -> liveEndpoints(registry, services).equals(expected));
		if (!same) {
			this.violations
				.add(step + ": " + id + " knows " + liveEndpoints(registry, services) + " in place of " + expected);
		}
	}

	private static Set<String> liveEndpoints(EndpointRegistry registry, Set<String> services) {
		return services.stream()
			.flatMap((service) -> registry.unexpired(service).stream())
			.map((endpoint) -> endpoint.nodeId() + "/" + endpoint.incarnation())
			.collect(Collectors.toCollection(TreeSet::new));
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
