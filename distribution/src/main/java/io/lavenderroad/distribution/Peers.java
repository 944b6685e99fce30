package io.lavenderroad.distribution;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.CallFailure;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.WireOptions;
import io.lavenderroad.distribution.DistributionMessages.FloorAnswer;
import io.lavenderroad.distribution.DistributionMessages.FloorRequest;
import io.lavenderroad.distribution.DistributionMessages.PeerHello;
import io.lavenderroad.distribution.DistributionMessages.RegistryDigests;
import io.lavenderroad.distribution.DistributionMessages.Report;
import io.lavenderroad.distribution.DistributionMessages.RootProgress;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.Evidence;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Links between control members. Each member opens one link to each other member and
 * sends its announcements, evidence and status over it, so that each pair has two links.
 * The lock guards changes of the set of links.
 */
final class Peers {

	private final WireOptions options;

	private final Clock clock;

	private final RandomGenerator random;

	private final EndpointRegistry registry;

	private final ConnectionHandler handler;

	private final LongSupplier oldestSubtreeVersion;

	/**
	 * Guards the version announced last, so that no concurrent change is lost.
	 */
	private final ReentrantLock progressLock = new ReentrantLock();

	private long announcedOldest;

	private final ReentrantLock lock = new ReentrantLock();

	private final List<Link> links = new CopyOnWriteArrayList<>();

	private final Map<Connection, InboundPeer> inbound = new ConcurrentHashMap<>();

	private final ReportLedger ledger = new ReportLedger();

	private final ByteCount bytes = new ByteCount();

	private volatile boolean started;

	private volatile boolean closed;

	Peers(WireOptions options, Clock clock, RandomGenerator random, List<String> addresses, EndpointRegistry registry,
			ConnectionHandler handler, LongSupplier oldestSubtreeVersion) {
		this.options = options;
		this.clock = clock;
		this.random = random;
		this.registry = registry;
		this.handler = handler;
		this.oldestSubtreeVersion = oldestSubtreeVersion;
		addresses.forEach(this::add);
	}

	void start() {
		this.started = true;
		this.links.forEach(Link::start);
	}

	/**
	 * Replaces the members to link to.
	 * @param addresses address of each other member
	 */
	void set(List<String> addresses) {
		this.lock.lock();
		try {
			for (Link link : this.links) {
				if (!addresses.contains(link.address)) {
					this.links.remove(link);
					link.remove();
				}
			}
			List<String> present = addresses();
			addresses.stream().filter((address) -> !present.contains(address)).forEach(this::add);
		}
		finally {
			this.lock.unlock();
		}
	}

	List<String> addresses() {
		return this.links.stream().map((link) -> link.address).toList();
	}

	private void add(String address) {
		Uplink.address(address);
		if (address.equals(this.options.hello().frameAddress())) {
			return;
		}
		Link link = new Link(address);
		this.links.add(link);
		if (this.started) {
			link.start();
		}
	}

	ByteCount bytes() {
		return this.bytes;
	}

	/**
	 * Returns the id of the control member behind an accepted connection.
	 * @param connection the connection
	 * @return the id, or empty if it is not a link of a control member
	 */
	Optional<String> idOf(Connection connection) {
		return Optional.ofNullable(this.inbound.get(connection)).map(InboundPeer::memberId);
	}

	boolean connected() {
		return this.links.stream().anyMatch((link) -> link.connection != null);
	}

	boolean connected(String memberId) {
		return this.inbound.values().stream().anyMatch((peer) -> peer.memberId().equals(memberId))
				|| this.links.stream().anyMatch((link) -> link.isConnectedTo(memberId));
	}

	/**
	 * Accepts a link.
	 * @param connection the connection
	 * @param hello id and incarnation of the other member
	 * @return the digests of this member
	 */
	RegistryDigests acceptLink(Connection connection, PeerHello hello) {
		this.inbound.put(connection, new InboundPeer(hello.memberId(), hello.incarnation(), SubtreeStatus.EMPTY, 0));
		this.bytes.opened(connection);
		if (!connection.isOpen()) {
			closed(connection);
		}
		return new RegistryDigests(this.registry.digests((service) -> true));
	}

	void closed(Connection connection) {
		this.inbound.remove(connection);
		this.bytes.closed(connection);
		this.links.forEach((link) -> link.closed(connection));
	}

	/**
	 * Records a report of another member.
	 * @param connection its link
	 * @param report the report
	 * @return evidence that was not added before
	 */
	Optional<Evidence> reported(Connection connection, Report report) {
		InboundPeer peer = this.inbound.computeIfPresent(connection,
				(key, present) -> new InboundPeer(present.memberId(), present.incarnation(), report.status(),
						present.oldestVersion()));
		boolean isNew = peer != null && !report.evidence().isEmpty()
				&& this.ledger.recordIfNew(peer.memberId(), peer.incarnation(), report.sequence());
		return isNew ? Optional.of(report.evidence()) : Optional.empty();
	}

	/**
	 * Records the progress of the nodes below another member.
	 * @param connection its link
	 * @param oldestVersion oldest version that one of them serves
	 */
	void progressed(Connection connection, long oldestVersion) {
		this.inbound.computeIfPresent(connection, (key, present) -> new InboundPeer(present.memberId(),
				present.incarnation(), present.status(), oldestVersion));
	}

	/**
	 * Returns the oldest version that a node below another member serves. A silent member
	 * counts as lost, and its nodes attach to other members.
	 * @return the version, {@code Long.MAX_VALUE} if no node serves one
	 */
	long oldestVersion() {
		return responsive().mapToLong(InboundPeer::oldestVersion).min().orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns the members below which nodes lag behind a version, for the logs.
	 * @param version the version
	 * @return ids of the members
	 */
	List<String> laggingMembers(long version) {
		return responsive().filter((peer) -> peer.oldestVersion() < version).map(InboundPeer::memberId).toList();
	}

	private Stream<InboundPeer> responsive() {
		long now = this.clock.millis();
		return this.inbound.entrySet()
			.stream()
			.filter((entry) -> now - entry.getKey().lastReceivedMillis() <= TreeTimes.SILENCE_LIMIT_MILLIS)
			.map(Map.Entry::getValue);
	}

	/**
	 * Schedules an announcement of the oldest version below this member if it has
	 * changed.
	 */
	void announceProgress() {
		this.progressLock.lock();
		try {
			long oldest = this.oldestSubtreeVersion.getAsLong();
			if (oldest == this.announcedOldest) {
				return;
			}
			this.announcedOldest = oldest;
		}
		finally {
			this.progressLock.unlock();
		}
		heartbeat();
	}

	/**
	 * Schedules an announcement of the oldest version below this member, which is also a
	 * heartbeat.
	 */
	void heartbeat() {
		for (Link link : this.links) {
			link.progressDue = true;
			link.outbox.wake();
		}
	}

	SubtreeStatus status() {
		SubtreeStatus sum = SubtreeStatus.EMPTY;
		for (InboundPeer peer : this.inbound.values()) {
			sum = sum.plus(peer.status());
		}
		return sum;
	}

	void announce(Collection<Endpoint> endpoints, String exceptId) {
		for (Link link : this.links) {
			if (exceptId == null || !link.isConnectedTo(exceptId)) {
				link.outbox.offer(endpoints);
			}
		}
	}

	void evidence(Evidence evidence) {
		for (Link link : this.links) {
			link.evidence.add(evidence);
			link.reportDue = true;
			link.outbox.wake();
		}
	}

	void report(SubtreeStatus status) {
		for (Link link : this.links) {
			if (link.connection == null) {
				link.evidence.noReceiver(this.clock.millis());
			}
			link.status = status;
			link.reportDue = true;
			link.outbox.wake();
		}
	}

	/**
	 * Requests the version floor from the other members; only the leader confirms it.
	 * @return the floor, or empty
	 */
	Optional<Long> askForFloor() {
		for (Link link : this.links) {
			Connection connection = link.connection;
			if (connection == null) {
				continue;
			}
			Optional<Long> version = connection
				.call(new FloorRequest(true), TreeTimes.CALL_TIMEOUT_MILLIS, FloorAnswer.class)
				.toJavaOptional()
				.filter(FloorAnswer::confirmed)
				.map(FloorAnswer::version);
			if (version.isPresent()) {
				return version;
			}
		}
		return Optional.empty();
	}

	void close(String reason) {
		this.closed = true;
		this.links.forEach((link) -> link.close(reason));
		List.copyOf(this.inbound.keySet()).forEach((connection) -> connection.close(reason));
	}

	private record InboundPeer(String memberId, long incarnation, SubtreeStatus status, long oldestVersion) {
	}

	/**
	 * Link to one other member. One virtual thread connects and sends.
	 */
	private final class Link {

		private final String address;

		private final Outbox outbox = new Outbox();

		private final EvidenceSender evidence = new EvidenceSender();

		private volatile Connection connection;

		private volatile SubtreeStatus status = SubtreeStatus.EMPTY;

		private volatile boolean reportDue;

		private volatile boolean progressDue;

		private volatile boolean removed;

		Link(String address) {
			this.address = address;
		}

		void start() {
			Thread.ofVirtual().name("member " + this.address).start(this::run);
		}

		boolean isConnectedTo(String memberId) {
			Connection present = this.connection;
			return present != null && present.peer().senderId().equals(memberId);
		}

		void closed(Connection lost) {
			if (this.connection == lost) {
				this.connection = null;
				this.outbox.wake();
			}
		}

		void remove() {
			this.removed = true;
			close("control member was removed");
		}

		void close(String reason) {
			Connection present = this.connection;
			if (present != null) {
				present.close(reason);
			}
			this.outbox.wake();
		}

		private void run() {
			Backoff backoff = new Backoff(Peers.this.random);
			try {
				while (!Peers.this.closed && !this.removed) {
					if (connect()) {
						backoff.reset();
						push();
					}
					Thread.sleep(backoff.nextMillis());
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		private boolean connect() {
			Either<CallFailure, Connection> opened = Connection.open(Uplink.address(this.address), Peers.this.options,
					Peers.this.handler);
			if (opened.isLeft()) {
				return false;
			}
			Connection next = opened.get();
			Peers.this.bytes.opened(next);
			PeerHello hello = new PeerHello(Peers.this.options.hello().senderId(),
					Peers.this.options.hello().incarnation());
			Either<CallFailure, RegistryDigests> answer = next.call(hello, TreeTimes.CALL_TIMEOUT_MILLIS,
					RegistryDigests.class);
			if (answer.isLeft()) {
				next.close("control member did not answer");
				return false;
			}
			this.evidence.receiverChanged();
			this.connection = next;
			if (!next.isOpen() || this.removed) {
				next.close("control member was removed");
				this.connection = null;
				return false;
			}
			pushDifferences(answer.get().digests());
			this.progressDue = true;
			Logger.debug("distribution: Connected to control member {}.", next.peer().senderId());
			return true;
		}

		private void pushDifferences(Map<String, Long> remoteDigests) {
			Map<String, Long> localDigests = Peers.this.registry.digests((service) -> true);
			Set<String> services = new TreeSet<>(localDigests.keySet());
			services.addAll(remoteDigests.keySet());
			services.removeIf((service) -> Objects.equals(localDigests.get(service), remoteDigests.get(service)));
			this.outbox.offer(Peers.this.registry.select(services::contains, false));
		}

		private void push() throws InterruptedException {
			Connection present = this.connection;
			while (present != null && present.isOpen() && !Peers.this.closed && !this.removed) {
				for (DistributionMessage message : this.outbox.take(TreeTimes.CHECK_MILLIS)) {
					present.send(message);
				}
				if (this.progressDue) {
					this.progressDue = false;
					present.send(new RootProgress(Peers.this.oldestSubtreeVersion.getAsLong()));
				}
				if (this.reportDue) {
					this.reportDue = false;
					this.evidence.send(present, this.status, Peers.this.clock.millis());
				}
				present = this.connection;
			}
			this.connection = null;
		}

	}

}
