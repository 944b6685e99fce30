package io.lavenderroad.distribution;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.FrameServer;
import io.lavenderroad.core.wire.Hello;
import io.lavenderroad.core.wire.MessageCatalog;
import io.lavenderroad.core.wire.WireOptions;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MeshConfiguration;

/**
 * Roots and nodes in one process, connected over loopback sockets, for tests and
 * benchmarks.
 */
final class LocalMesh implements AutoCloseable {

	private static final MessageCatalog CATALOG = MessageCatalog.builder().addAll(DistributionMessages.types()).build();

	private static final long BIND_TIMEOUT_MILLIS = 20_000;

	private final List<Root> roots = new ArrayList<>();

	private final List<Node> nodes = new ArrayList<>();

	private final Clock clock;

	private final AtomicLong incarnations = new AtomicLong(System.currentTimeMillis());

	private Placement rootPlacement = Placement.ROOT;

	LocalMesh() {
		this(Clock.system());
	}

	/**
	 * Creates a mesh whose timeouts are based on a clock.
	 * @param clock the clock of all processes
	 */
	LocalMesh(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Makes roots that are started later accept only two children of each failure domain,
	 * so that a few nodes form a tree with relays.
	 * @return this mesh
	 */
	LocalMesh withRelays() {
		this.rootPlacement = new Placement(0, 128, 2);
		return this;
	}

	/**
	 * Starts roots that are configured as peers of each other.
	 * @param count number of roots
	 * @param floor confirms the version at the first root
	 * @return the roots
	 */
	List<Root> startRoots(int count, Supplier<Optional<Long>> floor) {
		return startRoots(count, floor, (index) -> () -> 0);
	}

	/**
	 * Starts roots that are configured as peers of each other.
	 * @param count number of roots
	 * @param floor confirms the version at the first root
	 * @param quorumAge returns the source of the age of the last quorum contact for the
	 * index of a root
	 * @return the roots
	 */
	List<Root> startRoots(int count, Supplier<Optional<Long>> floor, IntFunction<LongSupplier> quorumAge) {
		List<Root> started = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			started.add(new Root("control-" + (this.roots.size() + index), nextIncarnation(), 0, this.clock));
		}
		List<String> addresses = started.stream().map((root) -> root.address).toList();
		for (int index = 0; index < count; index++) {
			started.get(index)
				.start(addresses, (index == 0) ? floor : Optional::empty, quorumAge.apply(index), this.rootPlacement);
		}
		this.roots.addAll(started);
		return started;
	}

	/**
	 * Kills a root and starts a new one at its address.
	 * @param index index of the root
	 * @param floor confirms the version
	 * @return the new root, which has no configuration yet
	 */
	Root restartRoot(int index, Supplier<Optional<Long>> floor) {
		Root old = this.roots.get(index);
		old.kill();
		Root next = new Root(old.id, nextIncarnation(), Uplink.address(old.address).getPort(), this.clock);
		next.start(seeds(), floor, () -> 0, this.rootPlacement);
		this.roots.set(index, next);
		return next;
	}

	/**
	 * Creates a node that is not started yet.
	 * @param id id of the node
	 * @param failureDomain its failure domain
	 * @param service service of its local backend server
	 * @return the node
	 */
	Node node(String id, String failureDomain, String service) {
		Node node = new Node(id, failureDomain, service, nextIncarnation(), seeds(), this.clock);
		this.nodes.add(node);
		return node;
	}

	/**
	 * Creates a node whose clock was behind when it started. It is not started yet.
	 * @param id id of the node
	 * @param failureDomain its failure domain
	 * @param service service of its local backend server
	 * @param behindMillis by how much its clock was behind
	 * @return the node
	 */
	Node nodeWithClockBehind(String id, String failureDomain, String service, long behindMillis) {
		Node node = new Node(id, failureDomain, service, nextIncarnation() - behindMillis, seeds(), this.clock);
		this.nodes.add(node);
		return node;
	}

	List<String> seeds() {
		return this.roots.stream().map((root) -> root.address).toList();
	}

	List<Node> nodes() {
		return this.nodes;
	}

	List<Root> roots() {
		return this.roots;
	}

	long nextIncarnation() {
		return this.incarnations.incrementAndGet();
	}

	@Override
	public void close() {
		this.nodes.forEach(Node::kill);
		this.roots.forEach(Root::kill);
	}

	private static WireOptions options(String id, String role, long incarnation, String address, Clock clock) {
		return WireOptions.builder()
			.hello(new Hello("local", id, role, incarnation, address))
			.catalog(CATALOG)
			.clock(clock)
			.build();
	}

	private static FrameServer serve(String id, String role, long incarnation, int port, Clock clock, Gate gate) {
		AtomicReference<FrameServer> server = new AtomicReference<>();
		// A closed port may be in use briefly by connections that end, or by another
		// process.
		boolean started = Await.until(BIND_TIMEOUT_MILLIS, () -> {
			try {
				server.set(FrameServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
						options(id, role, incarnation, "", clock), gate));
				return true;
			}
			catch (IOException ex) {
				return false;
			}
		});
		if (!started) {
			throw new IllegalStateException("cannot listen on port " + port + " of loopback");
		}
		return server.get();
	}

	private static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	/**
	 * One control member.
	 */
	static final class Root {

		final String id;

		final String address;

		final ConcurrentLinkedQueue<Evidence> evidence = new ConcurrentLinkedQueue<>();

		private final long incarnation;

		private final FreezableClock clock;

		private final Gate gate = new Gate();

		private final FrameServer server;

		private RootDistribution distribution;

		Root(String id, long incarnation, int port, Clock meshClock) {
			this.clock = new FreezableClock(meshClock);
			this.id = id;
			this.incarnation = incarnation;
			this.server = serve(id, "control", incarnation, port, this.clock, this.gate);
			this.address = format(this.server.address());
		}

		void start(List<String> peers, Supplier<Optional<Long>> floor, LongSupplier quorumAge, Placement placement) {
			this.distribution = RootDistribution.builder()
				.options(options(this.id, "control", this.incarnation, this.address, this.clock))
				.clock(this.clock)
				.peers(peers)
				.confirmCommittedVersion(floor)
				.quorumAgeMillis(quorumAge)
				.evidenceListener(this.evidence::add)
				.placement(placement)
				.build();
			this.gate.target(this.distribution.handler());
			this.distribution.start();
		}

		RootDistribution distribution() {
			return this.distribution;
		}

		void kill() {
			this.gate.unblocked.countDown();
			this.server.close();
			this.distribution.abort("killed");
		}

		/**
		 * Stops the member from reading and sending while its sockets stay open.
		 */
		void freeze() {
			this.gate.frozen = true;
			this.clock.freeze();
		}

	}

	/**
	 * One node.
	 */
	static final class Node {

		final String id;

		final String address;

		private final Gate gate = new Gate();

		private final FreezableClock clock;

		private final FrameServer server;

		private final NodeDistributionBuilder builder;

		private NodeDistribution distribution;

		Node(String id, String failureDomain, String service, long incarnation, List<String> seeds, Clock meshClock) {
			this.clock = new FreezableClock(meshClock);
			this.id = id;
			this.server = serve(id, "node", incarnation, 0, this.clock, this.gate);
			this.address = format(this.server.address());
			this.builder = NodeDistribution.builder()
				.options(options(id, "node", incarnation, this.address, this.clock))
				.clock(this.clock)
				.seeds(seeds)
				.endpoint(new Endpoint(id, incarnation, 0, EndpointState.READY, service, "v1", "region", failureDomain,
						this.address, 12, 100, ""))
				.outgoing((target) -> {
					this.gate.target(target);
					return this.gate;
				});
		}

		Node with(Consumer<NodeDistributionBuilder> settings) {
			settings.accept(this.builder);
			return this;
		}

		Node dataFolder(Path folder) {
			return with((target) -> target.dataFolder(folder));
		}

		Node validator(Function<MeshConfiguration, List<String>> validator) {
			return with((target) -> target.validator(validator));
		}

		Node start() {
			this.distribution = this.builder.build();
			this.distribution.start();
			return this;
		}

		NodeDistribution distribution() {
			return this.distribution;
		}

		long version() {
			return this.distribution.configuration().map(MeshConfiguration::version).orElse(0L);
		}

		/**
		 * Stops the node as a crash of its process does.
		 */
		void kill() {
			this.gate.unblocked.countDown();
			this.server.close();
			if (this.distribution != null) {
				this.distribution.abort("killed");
			}
		}

		/**
		 * Stops the node from reading and sending while its sockets stay open.
		 */
		void freeze() {
			this.gate.frozen = true;
			this.clock.freeze();
		}

		void stop() {
			this.distribution.close();
			this.server.close();
		}

	}

	/**
	 * Holds messages back until the distribution of the process is built and while the
	 * process is frozen.
	 */
	private static final class Gate implements ConnectionHandler {

		private final CountDownLatch unblocked = new CountDownLatch(1);

		private final CountDownLatch built = new CountDownLatch(1);

		private volatile ConnectionHandler target;

		private volatile boolean frozen;

		void target(ConnectionHandler handler) {
			this.target = handler;
			this.built.countDown();
		}

		@Override
		public void received(Connection connection, Object message) {
			awaitUnblocked();
			this.target.received(connection, message);
		}

		@Override
		public Object answer(Connection connection, Object request) {
			awaitUnblocked();
			return this.target.answer(connection, request);
		}

		@Override
		public void closed(Connection connection, String reason) {
			if (this.target != null) {
				this.target.closed(connection, reason);
			}
		}

		private void awaitUnblocked() {
			try {
				this.built.await();
				if (this.frozen) {
					this.unblocked.await();
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

	/**
	 * Clock that can be stopped, so that heartbeats are never due.
	 */
	private static final class FreezableClock implements Clock {

		private final Clock running;

		private volatile long frozenMillis;

		FreezableClock(Clock running) {
			this.running = running;
		}

		@Override
		public long millis() {
			long frozen = this.frozenMillis;
			return (frozen != 0) ? frozen : this.running.millis();
		}

		void freeze() {
			this.frozenMillis = this.running.millis();
		}

	}

	/**
	 * Waits for conditions.
	 */
	static final class Await {

		private static final long CHECK_MILLIS = 5;

		private Await() {
		}

		/**
		 * Waits until a condition holds.
		 * @param timeoutMillis maximum wait
		 * @param condition the condition
		 * @return false if the timeout passed first
		 */
		static boolean until(long timeoutMillis, Supplier<Boolean> condition) {
			long startNanos = System.nanoTime();
			while (!condition.get()) {
				if (System.nanoTime() - startNanos > timeoutMillis * 1_000_000) {
					return false;
				}
				try {
					Thread.sleep(CHECK_MILLIS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
					return false;
				}
			}
			return true;
		}

	}

}
