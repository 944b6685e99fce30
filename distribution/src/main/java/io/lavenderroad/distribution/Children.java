package io.lavenderroad.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.distribution.DistributionMessages.Accepted;
import io.lavenderroad.distribution.DistributionMessages.Attach;
import io.lavenderroad.distribution.DistributionMessages.ChildHeartbeat;
import io.lavenderroad.distribution.DistributionMessages.Deferred;
import io.lavenderroad.distribution.DistributionMessages.EndpointUpdate;
import io.lavenderroad.distribution.DistributionMessages.Hop;
import io.lavenderroad.distribution.DistributionMessages.Leaving;
import io.lavenderroad.distribution.DistributionMessages.Redirected;
import io.lavenderroad.distribution.DistributionMessages.RegistryRequest;
import io.lavenderroad.distribution.DistributionMessages.Report;
import io.lavenderroad.distribution.DistributionMessages.ReportAcknowledged;
import io.lavenderroad.distribution.DistributionMessages.Subscribe;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MeshConfiguration;
import org.tinylog.Logger;

/**
 * The children of a root or a relay: admission, placement, leases and reports. The lock
 * guards the admission, the leases and changes of the set of children.
 */
final class Children {

	private static final int MAXIMUM_NAMED = 8;

	private final Parent parent;

	private final Placement placement;

	private final ReentrantLock lock = new ReentrantLock();

	private final AttachAdmission admission;

	private final LeaseTable leases = new LeaseTable();

	private final ReportLedger ledger = new ReportLedger();

	private final Map<Connection, Child> byConnection = new ConcurrentHashMap<>();

	private final Map<String, Child> byId = new HashMap<>();

	private final ByteCount bytes = new ByteCount();

	private final UpdateCache updates = new UpdateCache();

	private boolean closing;

	Children(Parent parent, Placement placement, int attachesPerSecond) {
		this.parent = parent;
		this.placement = placement;
		this.admission = new AttachAdmission(attachesPerSecond, parent.clock().millis());
	}

	Clock clock() {
		return this.parent.clock();
	}

	MeshConfiguration current() {
		return this.parent.active().current();
	}

	UpdateCache updates() {
		return this.updates;
	}

	EndpointRegistry registry() {
		return this.parent.registry();
	}

	long rootAgeMillis() {
		return this.parent.rootAgeMillis();
	}

	List<Hop> path() {
		return this.parent.path();
	}

	List<String> roots() {
		return this.parent.roots();
	}

	/**
	 * Returns whether slices for children can be taken from the active version.
	 * @return true if it contains all services
	 */
	boolean everything() {
		return this.parent.active().everything();
	}

	ByteCount bytes() {
		return this.bytes;
	}

	int size() {
		return this.byConnection.size();
	}

	/**
	 * Handles an attach request. Blocks while this process fetches the services that a
	 * relay needs.
	 * @param connection connection of the caller
	 * @param attach the request
	 * @return the response
	 */
	DistributionMessage attach(Connection connection, Attach attach) {
		DistributionMessage refusal = refusal(attach);
		if (refusal != null) {
			return refusal;
		}
		Placement.Decision decision = decide(attach);
		if (!decision.accepted()) {
			return decision.targets().isEmpty() ? new Deferred(TreeTimes.HEARTBEAT_MILLIS, "no child is in reach")
					: new Redirected(decision.targets());
		}
		if (!this.parent.prepareToRelay()) {
			return new Deferred(TreeTimes.CHECK_MILLIS, "the services for children are not here yet");
		}
		return accept(connection, attach);
	}

	/**
	 * Handles a message of a child.
	 * @param connection its connection
	 * @param message the message
	 */
	void received(Connection connection, Object message) {
		Child child = this.byConnection.get(connection);
		if (child == null) {
			return;
		}
		switch (message) {
			case Subscribe subscribe -> child.subscribed(subscribe);
			case ChildHeartbeat heartbeat -> {
				if (child.progressed(heartbeat.version(), heartbeat.oldestVersion())) {
					this.parent.progressFromSubtree();
				}
			}
			case EndpointUpdate update -> {
				this.parent.endpointsFromSubtree(update.endpoints(), child.hop().id());
				sendNewerIncarnations(child, update.endpoints());
			}
			case RegistryRequest request -> child.requested(request.services());
			case Leaving leaving ->
				Logger.debug("distribution: Child {} is leaving: {}.", child.hop().id(), leaving.reason());
			default -> Logger.debug("distribution: Ignored {} from child {}.", message.getClass().getSimpleName(),
					child.hop().id());
		}
	}

	// Sends the entries of earlier processes that a child announces with a smaller
	// incarnation. The clock of the VM was ahead when the earlier process started; the
	// node has to announce itself with a larger incarnation.
	private void sendNewerIncarnations(Child child, List<Endpoint> announced) {
		List<Endpoint> newer = announced.stream()
			.flatMap((endpoint) -> this.parent.registry()
				.find(endpoint.nodeId())
				.filter((present) -> present.incarnation() > endpoint.incarnation())
				.stream())
			.toList();
		if (!newer.isEmpty()) {
			child.send(new EndpointUpdate(newer));
		}
	}

	/**
	 * Handles a report. Its evidence is added only if the report was not added before.
	 * @param connection connection of the child
	 * @param report the report
	 * @return the acknowledgement, with number 0 if it was not added
	 */
	ReportAcknowledged report(Connection connection, Report report) {
		Child child = this.byConnection.get(connection);
		if (child == null) {
			return new ReportAcknowledged(0);
		}
		child.reported(report);
		if (this.ledger.recordIfNew(child.hop().id(), child.incarnation(), report.sequence())) {
			this.parent.evidenceFromSubtree(report.evidence());
		}
		return new ReportAcknowledged(report.sequence());
	}

	void closed(Connection connection) {
		this.bytes.closed(connection);
		this.lock.lock();
		try {
			Child child = this.byConnection.remove(connection);
			if (child != null && this.byId.remove(child.hop().id(), child)) {
				this.leases.connectionLost(child.hop().id(), clock().millis());
			}
		}
		finally {
			this.lock.unlock();
		}
		this.parent.progressFromSubtree();
	}

	/**
	 * Forwards announcements to the children.
	 * @param endpoints the announcements
	 * @param exceptId id of the child that sent them, or null
	 */
	void announce(Collection<Endpoint> endpoints, String exceptId) {
		for (Child child : this.byConnection.values()) {
			if (!child.hop().id().equals(exceptId)) {
				child.announce(endpoints);
			}
		}
	}

	void wake() {
		this.byConnection.values().forEach(Child::wake);
	}

	void heartbeat() {
		this.byConnection.values().forEach(Child::heartbeat);
	}

	/**
	 * Sends a changed path to the children.
	 * @param path from the root to this process
	 */
	void pathChanged(List<Hop> path) {
		this.byConnection.values().stream().filter(Child::hasSubscribed).forEach((child) -> child.sendPath(path));
	}

	/**
	 * Sends a changed list of roots to the children.
	 * @param addresses addresses of all roots
	 */
	void rootsChanged(List<String> addresses) {
		this.byConnection.values().stream().filter(Child::hasSubscribed).forEach((child) -> child.sendRoots(addresses));
	}

	/**
	 * Returns the sum of the reports of the children.
	 * @return the sum, with the depth as seen from this process
	 */
	SubtreeStatus status() {
		SubtreeStatus sum = SubtreeStatus.EMPTY;
		for (Child child : this.byConnection.values()) {
			sum = sum.plus(child.status().oneHopUp());
		}
		return sum;
	}

	/**
	 * Starts the leases of nodes whose announcements name this process as their parent
	 * but that are not attached: this process has restarted, and they may have failed
	 * meanwhile.
	 * @param endpoints announcements from other processes
	 */
	void startLeases(Collection<Endpoint> endpoints) {
		this.lock.lock();
		try {
			endpoints.stream()
				.filter((endpoint) -> endpoint.attachedTo().equals(this.parent.self().id()))
				.filter((endpoint) -> !this.byId.containsKey(endpoint.nodeId()))
				.forEach((endpoint) -> this.leases.connectionLost(endpoint.nodeId(), clock().millis()));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Expires the endpoints of disconnected children that did not attach elsewhere in
	 * time.
	 */
	void expireLeases() {
		List<String> due;
		this.lock.lock();
		try {
			due = this.leases.takeExpired(clock().millis());
		}
		finally {
			this.lock.unlock();
		}
		List<Endpoint> expired = new ArrayList<>();
		for (String nodeId : due) {
			this.parent.registry()
				.find(nodeId)
				.filter((endpoint) -> endpoint.attachedTo().equals(this.parent.self().id()))
				.filter((endpoint) -> endpoint.state() != EndpointState.EXPIRED)
				.ifPresent((endpoint) -> expired.add(endpoint.withState(EndpointState.EXPIRED)));
		}
		if (!expired.isEmpty()) {
			Logger.info("distribution: The leases of {} nodes expired: {}.", expired.size(),
					expired.stream().map(Endpoint::nodeId).toList());
			this.parent.endpointsFromSubtree(expired, null);
		}
	}

	/**
	 * Asks all children to attach elsewhere and accepts no new ones.
	 * @param reason short sentence for the logs
	 */
	void leave(String reason) {
		this.lock.lock();
		try {
			this.closing = true;
		}
		finally {
			this.lock.unlock();
		}
		this.byConnection.values().forEach((child) -> child.send(new Leaving(reason)));
	}

	void close(String reason) {
		List.copyOf(this.byConnection.keySet()).forEach((connection) -> connection.close(reason));
	}

	/**
	 * Returns the oldest version that a node below this process serves.
	 * @return the version, {@code Long.MAX_VALUE} if no node serves one
	 */
	long oldestVersion() {
		return this.byConnection.values().stream().mapToLong(Child::oldestVersion).min().orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns children that lag behind a version, for the logs.
	 * @param newVersion the version
	 * @return ids of at most 8 children that serve an older version or have a node below
	 * them that does
	 */
	List<String> laggingChildren(long newVersion) {
		return this.byConnection.values()
			.stream()
			.filter((child) -> child.oldestVersion() < newVersion)
			.map((child) -> child.hop().id())
			.sorted()
			.limit(MAXIMUM_NAMED)
			.toList();
	}

	private DistributionMessage refusal(Attach attach) {
		this.lock.lock();
		try {
			if (this.closing) {
				return new Deferred(TreeTimes.CALL_TIMEOUT_MILLIS, "this process is stopping");
			}
			if (this.parent.rootAgeMillis() > TreeTimes.ROOT_AGE_LIMIT_MILLIS) {
				return new Deferred(TreeTimes.HEARTBEAT_MILLIS, "this process has no contact with a root");
			}
			if (TreePath.contains(this.parent.path(), attach.nodeId())) {
				return new Deferred(TreeTimes.HEARTBEAT_MILLIS, "the caller is an ancestor of this process");
			}
			long waitMillis = this.admission.admit(clock().millis());
			return (waitMillis > 0) ? new Deferred(waitMillis, "attach requests are over the rate of this process")
					: null;
		}
		finally {
			this.lock.unlock();
		}
	}

	private Placement.Decision decide(Attach attach) {
		this.lock.lock();
		try {
			Placement.Decision decision = this.placement.decide(attach.nodeId(), attach.failureDomain(),
					new HashSet<>(attach.avoided()), childStates());
			if (!decision.targets().isEmpty()) {
				this.byId.get(decision.targets().getFirst().id()).redirected();
			}
			return decision;
		}
		finally {
			this.lock.unlock();
		}
	}

	private List<Placement.ChildState> childStates() {
		return this.byId.values().stream().filter((child) -> !child.leaving()).map(Child::placementState).toList();
	}

	private DistributionMessage accept(Connection connection, Attach attach) {
		Child replaced;
		Child child = new Child(this, connection, attach);
		this.lock.lock();
		try {
			// Other callers may have used up the capacity of this process while the
			// services were fetched.
			Placement.Decision again = this.placement.decide(attach.nodeId(), attach.failureDomain(),
					new HashSet<>(attach.avoided()), childStates());
			if (!again.accepted()) {
				return again.targets().isEmpty() ? new Deferred(TreeTimes.CHECK_MILLIS, "the last place is taken")
						: new Redirected(again.targets());
			}
			Child present = this.byId.get(attach.nodeId());
			if (present != null && present.incarnation() > attach.incarnation()) {
				return new Deferred(TreeTimes.CALL_TIMEOUT_MILLIS, "a newer process with this id is attached");
			}
			replaced = this.byId.put(attach.nodeId(), child);
			if (replaced != null) {
				this.byConnection.remove(replaced.connection());
			}
			this.byConnection.put(connection, child);
			this.leases.attached(attach.nodeId());
		}
		finally {
			this.lock.unlock();
		}
		this.bytes.opened(connection);
		if (replaced != null) {
			replaced.connection().close("child attached again");
		}
		if (!connection.isOpen()) {
			closed(connection);
		}
		List<Hop> path = this.parent.path();
		child.recordSentPath(path);
		child.start();
		return new Accepted(path, current().version(), this.parent.rootAgeMillis());
	}

	/**
	 * Parent process of the children.
	 */
	interface Parent {

		Clock clock();

		Hop self();

		ActiveConfiguration active();

		EndpointRegistry registry();

		/**
		 * Returns the path from the root to this process, both included.
		 * @return the path
		 */
		List<Hop> path();

		long rootAgeMillis();

		/**
		 * Returns the addresses of the roots.
		 * @return {@code ip:port} of each, empty if unknown
		 */
		List<String> roots();

		/**
		 * Ensures that this process holds all services, as a relay has to.
		 * @return false if they did not arrive in time
		 */
		boolean prepareToRelay();

		/**
		 * Merges announcements from the subtree and forwards them.
		 * @param endpoints the announcements
		 * @param senderId id of the child that sent them, or null for this process
		 */
		void endpointsFromSubtree(List<Endpoint> endpoints, String senderId);

		void evidenceFromSubtree(Evidence evidence);

		/**
		 * Called when the oldest version below this process may have changed. Must not
		 * block.
		 */
		void progressFromSubtree();

	}

}
