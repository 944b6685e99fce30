package io.lavenderroad.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.distribution.DistributionMessages.Advance;
import io.lavenderroad.distribution.DistributionMessages.Attach;
import io.lavenderroad.distribution.DistributionMessages.Delta;
import io.lavenderroad.distribution.DistributionMessages.Hop;
import io.lavenderroad.distribution.DistributionMessages.ParentHeartbeat;
import io.lavenderroad.distribution.DistributionMessages.PathUpdate;
import io.lavenderroad.distribution.DistributionMessages.RegistryDigests;
import io.lavenderroad.distribution.DistributionMessages.Report;
import io.lavenderroad.distribution.DistributionMessages.Roots;
import io.lavenderroad.distribution.DistributionMessages.Subscribe;
import io.lavenderroad.distribution.DistributionMessages.SubscribeAgain;
import io.lavenderroad.distribution.DistributionMessages.WholeSlice;
import io.lavenderroad.model.CallerLimits;
import io.lavenderroad.model.ConfigurationDelta;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.Scope;
import org.tinylog.Logger;

/**
 * State that a parent keeps of one attached child. One virtual thread per child sends, so
 * that a child that does not read does not delay others. The lock guards the state of the
 * subscription and the reports.
 */
final class Child {

	/**
	 * Duration in milliseconds above which it is logged that sending a version to the
	 * child, or its activation there, took long.
	 */
	private static final long SLOW_MILLIS = 1_000;

	private final Children owner;

	private final Connection connection;

	private final Hop hop;

	private final long incarnation;

	private final String failureDomain;

	private final Outbox outbox = new Outbox();

	private final ReentrantLock lock = new ReentrantLock();

	private Scope scope;

	private long sentVersion;

	private Set<String> sentNames = Set.of();

	private Optional<CallerLimits> sentLimits = Optional.empty();

	private boolean wholeRequired;

	private SubtreeStatus status;

	private volatile List<Hop> sentPath = List.of();

	private volatile List<String> sentRoots = List.of();

	private volatile boolean subscribed;

	private final ArrayDeque<Long> redirectedMillis = new ArrayDeque<>();

	private volatile boolean heartbeatDue;

	private long lastHeartbeatMillis;

	private volatile boolean leaving;

	private volatile long version;

	/**
	 * Oldest version served in the subtree; 0, which is older than every version, until
	 * the first heartbeat of the child.
	 */
	private volatile long oldestVersion;

	private volatile long sentMillis;

	Child(Children owner, Connection connection, Attach attach) {
		this.owner = owner;
		this.connection = connection;
		this.hop = new Hop(attach.nodeId(), attach.frameAddress());
		this.incarnation = attach.incarnation();
		this.failureDomain = attach.failureDomain();
		this.lastHeartbeatMillis = owner.clock().millis();
		this.sentMillis = this.lastHeartbeatMillis;
	}

	Hop hop() {
		return this.hop;
	}

	long incarnation() {
		return this.incarnation;
	}

	Connection connection() {
		return this.connection;
	}

	void start() {
		Thread.ofVirtual().name("child " + this.hop.id()).start(this::sendAll);
	}

	/**
	 * Returns whether the child handles one-way messages yet.
	 * @return true after its first subscription
	 */
	boolean hasSubscribed() {
		return this.subscribed;
	}

	/**
	 * Returns the state of the child that {@link Placement} uses to decide about another
	 * caller.
	 * @return the state
	 */
	Placement.ChildState placementState() {
		this.lock.lock();
		try {
			int nodes = (this.status != null) ? this.status.nodes() : 1;
			long now = this.owner.clock().millis();
			while (!this.redirectedMillis.isEmpty()
					&& now - this.redirectedMillis.peekFirst() > TreeTimes.REDIRECT_RETENTION_MILLIS) {
				this.redirectedMillis.removeFirst();
			}
			return new Placement.ChildState(this.hop, this.failureDomain, nodes + this.redirectedMillis.size());
		}
		finally {
			this.lock.unlock();
		}
	}

	void redirected() {
		this.lock.lock();
		try {
			this.redirectedMillis.addLast(this.owner.clock().millis());
		}
		finally {
			this.lock.unlock();
		}
	}

	void reported(Report report) {
		this.lock.lock();
		try {
			this.status = report.status();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the last report of the child.
	 * @return the status, with one node of unknown version before the first report
	 */
	SubtreeStatus status() {
		this.lock.lock();
		try {
			if (this.status != null) {
				return this.status;
			}
			TreeMap<Long, Integer> versions = new TreeMap<>(Map.of(this.version, 1));
			return new SubtreeStatus(versions, List.of(new NodeVersion(this.hop.id(), this.version)), List.of(), 0, 0,
					0);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Replaces the recorded state of the child with its subscription.
	 * @param subscribe the subscription
	 */
	void subscribed(Subscribe subscribe) {
		MeshConfiguration current = this.owner.current();
		// The path may have changed after the response to the attach request was written.
		this.subscribed = true;
		sendPath(this.owner.path());
		sendRoots(this.owner.roots());
		this.lock.lock();
		try {
			this.version = subscribe.version();
			this.scope = subscribe.scope();
			this.sentVersion = subscribe.version();
			this.wholeRequired = subscribe.whole() || subscribe.version() <= 0;
			this.sentNames = new HashSet<>(subscribe.names());
			if (!this.wholeRequired && !subscribe.namesGiven()) {
				MeshConfiguration slice = current.slice(this.scope);
				this.sentNames = new HashSet<>(slice.services().keySet());
				boolean sameNames = ServiceNames.digest(this.sentNames) == subscribe.namesDigest();
				boolean sameVersion = subscribe.version() == current.version();
				if (!sameNames || sameVersion && !slice.digest().equals(subscribe.digest())) {
					this.scope = null;
					this.outbox.offer(new SubscribeAgain(sameVersion));
					return;
				}
			}
			compareRegistry(subscribe.registryDigest());
		}
		finally {
			this.lock.unlock();
		}
		this.outbox.wake();
	}

	/**
	 * Queues announcements that are in the scope of the child.
	 * @param endpoints the announcements
	 */
	void announce(Collection<Endpoint> endpoints) {
		this.lock.lock();
		try {
			if (this.scope != null) {
				this.outbox.offer(endpoints.stream().filter(this::inScope).toList());
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	void send(DistributionMessage message) {
		this.outbox.offer(message);
	}

	/**
	 * Sends the path to the child unless it was sent before.
	 * @param path from the root to the parent
	 */
	void sendPath(List<Hop> path) {
		if (!path.equals(this.sentPath)) {
			this.sentPath = path;
			this.outbox.offer(new PathUpdate(path));
		}
	}

	/**
	 * Sends the addresses of the roots to the child unless they were sent before.
	 * @param addresses addresses of all roots
	 */
	void sendRoots(List<String> addresses) {
		if (!addresses.isEmpty() && !addresses.equals(this.sentRoots)) {
			this.sentRoots = addresses;
			this.outbox.offer(new Roots(addresses));
		}
	}

	/**
	 * Records the path that the response to the attach request contained.
	 * @param path from the root to the parent
	 */
	void recordSentPath(List<Hop> path) {
		this.sentPath = path;
	}

	void requested(Collection<String> services) {
		Set<String> wanted = new HashSet<>(services);
		announce(this.owner.registry().select(wanted::contains, false));
	}

	void heartbeat() {
		this.heartbeatDue = true;
		this.outbox.wake();
	}

	/**
	 * Marks the child as leaving, so that no caller is redirected to it.
	 */
	void markLeaving() {
		this.leaving = true;
	}

	boolean leaving() {
		return this.leaving;
	}

	void wake() {
		this.outbox.wake();
	}

	/**
	 * Records the versions of a heartbeat.
	 * @param newVersion active version of the child
	 * @param oldest oldest version that the child or a node below it serves
	 * @return whether the oldest version has changed
	 */
	boolean progressed(long newVersion, long oldest) {
		long elapsedMillis = this.owner.clock().millis() - this.sentMillis;
		if (newVersion > this.version && elapsedMillis > SLOW_MILLIS) {
			Logger.info("distribution: Child {} reported version {} as active {} ms after version {} was sent.",
					this.hop.id(), newVersion, elapsedMillis, this.sentVersion);
		}
		this.version = newVersion;
		boolean changed = this.oldestVersion != oldest;
		this.oldestVersion = oldest;
		return changed;
	}

	/**
	 * Returns the oldest version that the child or a node below it serves.
	 * @return the version, {@code Long.MAX_VALUE} if no node serves one
	 */
	long oldestVersion() {
		return this.oldestVersion;
	}

	private void compareRegistry(long childDigest) {
		EndpointRegistry registry = this.owner.registry();
		if (childDigest == 0) {
			this.outbox.offer(registry.select(this::serviceInScope, false));
		}
		else if (childDigest != registry.digest(this::serviceInScope)) {
			this.outbox.offer(new RegistryDigests(registry.digests(this::serviceInScope)));
		}
	}

	private boolean inScope(Endpoint endpoint) {
		return serviceInScope(endpoint.service()) || endpoint.nodeId().equals(this.hop.id());
	}

	private boolean serviceInScope(String service) {
		return this.scope.all() || this.sentNames.contains(service) || this.scope.localServices().contains(service);
	}

	private void sendAll() {
		try {
			while (this.connection.isOpen()) {
				for (DistributionMessage message : this.outbox.take(TreeTimes.CHECK_MILLIS)) {
					this.connection.send(message);
				}
				nextUpdate().ifPresent(this::sendUpdate);
				sendHeartbeatIfDue();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "distribution: Sending to child {} failed.", this.hop.id());
			this.connection.close("sending failed: " + ex.getMessage());
		}
	}

	private void sendUpdate(DistributionMessage update) {
		long startMillis = this.owner.clock().millis();
		long bytesBefore = this.connection.bytesSent();
		this.sentMillis = startMillis;
		this.connection.send(update);
		long elapsedMillis = this.owner.clock().millis() - startMillis;
		if (elapsedMillis > SLOW_MILLIS) {
			Logger.info("distribution: Sending {} bytes of version {} to child {} took {} ms.",
					this.connection.bytesSent() - bytesBefore, this.sentVersion, this.hop.id(), elapsedMillis);
		}
	}

	private void sendHeartbeatIfDue() {
		long now = this.owner.clock().millis();
		long silenceMillis = now - this.connection.lastReceivedMillis();
		if (silenceMillis > TreeTimes.SILENCE_LIMIT_MILLIS) {
			this.connection.close("child " + this.hop.id() + " was silent for " + silenceMillis + " ms");
			return;
		}
		if (this.heartbeatDue || now - this.lastHeartbeatMillis >= TreeTimes.LOCAL_HEARTBEAT_MILLIS) {
			this.heartbeatDue = false;
			this.lastHeartbeatMillis = now;
			this.connection.send(new ParentHeartbeat(this.owner.current().version(), this.owner.rootAgeMillis()));
		}
	}

	private Optional<DistributionMessage> nextUpdate() {
		this.lock.lock();
		try {
			MeshConfiguration current = this.owner.current();
			if (this.scope == null || current.version() <= 0 || !this.owner.everything()) {
				return Optional.empty();
			}
			if (this.wholeRequired) {
				return (current.version() >= this.sentVersion) ? Optional.of(wholeSlice(current)) : Optional.empty();
			}
			if (current.version() <= this.sentVersion) {
				return Optional.empty();
			}
			return Optional.of(nextDelta(current));
		}
		finally {
			this.lock.unlock();
		}
	}

	private DistributionMessage wholeSlice(MeshConfiguration current) {
		WholeSlice slice = this.owner.updates().whole(current, this.scope);
		this.wholeRequired = false;
		recordSent(current, slice.configuration().services().keySet());
		return slice;
	}

	private DistributionMessage nextDelta(MeshConfiguration current) {
		Optional<Delta> update = this.owner.updates().delta(current, this.sentVersion, this.sentNames, this.scope);
		if (update.isEmpty()) {
			return wholeSlice(current);
		}
		ConfigurationDelta delta = update.get().delta();
		if (delta.changesVersionOnly(this.sentLimits)) {
			long fromVersion = this.sentVersion;
			this.sentVersion = current.version();
			return new Advance(fromVersion, current.version());
		}
		Set<String> names = new HashSet<>(this.sentNames);
		delta.removed().forEach(names::remove);
		delta.changed().forEach((service) -> names.add(service.name()));
		recordSent(current, names);
		return update.get();
	}

	private void recordSent(MeshConfiguration current, Collection<String> names) {
		List<String> entered = new ArrayList<>(names);
		entered.removeAll(this.sentNames);
		this.sentVersion = current.version();
		this.sentLimits = Optional.of(current.limits());
		this.sentNames = new HashSet<>(names);
		if (!this.scope.all() && !entered.isEmpty()) {
			this.outbox.offer(this.owner.registry().select(new HashSet<>(entered)::contains, false));
		}
	}

}
