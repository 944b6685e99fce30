package io.lavenderroad.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;

/**
 * Endpoints of the mesh as held by one process. The result of merging announcements does
 * not depend on their order. Readers take no lock; the lock guards writes.
 */
public final class EndpointRegistry {

	/**
	 * Time for which an expired entry is kept, so that an outdated announcement cannot
	 * restore it.
	 */
	static final long EXPIRED_RETENTION_MILLIS = 10 * 60 * 1_000;

	private final ReentrantLock lock = new ReentrantLock();

	private final Map<String, Entry> entries = new HashMap<>();

	private final Map<String, TreeMap<String, Entry>> byService = new HashMap<>();

	private final Map<String, List<Endpoint>> unexpired = new ConcurrentHashMap<>();

	/**
	 * Returns the endpoints of a service.
	 * @param service name of the service
	 * @return endpoints in every state but expired, in the order of the node ids
	 */
	public List<Endpoint> unexpired(String service) {
		return this.unexpired.getOrDefault(service, List.of());
	}

	/**
	 * Returns all endpoints that have not expired.
	 * @return endpoints by service and node id
	 */
	public List<Endpoint> unexpired() {
		return this.unexpired.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByKey())
			.flatMap((entry) -> entry.getValue().stream())
			.toList();
	}

	/**
	 * Finds the announcement of a node.
	 * @param nodeId id of the node
	 * @return the announcement, which may have expired
	 */
	public Optional<Endpoint> find(String nodeId) {
		this.lock.lock();
		try {
			return Optional.ofNullable(this.entries.get(nodeId)).map(Entry::endpoint);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Merges announcements.
	 * @param endpoints the announcements
	 * @param fromSubtree whether they came from this process or its subtree
	 * @param now milliseconds of the clock
	 * @return announcements to forward: those that replaced or added an entry, and
	 * expired copies of entries whose node now serves another service, for receivers that
	 * have only the old service in scope
	 */
	List<Endpoint> merge(Collection<Endpoint> endpoints, boolean fromSubtree, long now) {
		this.lock.lock();
		try {
			List<Endpoint> updates = new ArrayList<>();
			endpoints.forEach((endpoint) -> merge(endpoint, fromSubtree, now, updates));
			return updates;
		}
		finally {
			this.lock.unlock();
		}
	}

	private void merge(Endpoint endpoint, boolean fromSubtree, long now, List<Endpoint> updates) {
		Entry present = this.entries.get(endpoint.nodeId());
		if (present != null && !endpoint.replaces(present.endpoint())) {
			boolean same = !present.endpoint().replaces(endpoint);
			if (same && !fromSubtree && present.unconfirmedMillis() != 0) {
				put(present.confirmed());
			}
			return;
		}
		if (present != null && !present.endpoint().service().equals(endpoint.service())) {
			remove(present.endpoint());
			updates.add(present.endpoint().withState(EndpointState.EXPIRED));
		}
		boolean restarted = present != null && endpoint.incarnation() > present.endpoint().incarnation();
		long restartedMillis = (present != null) ? present.restartedMillis() : 0;
		put(new Entry(endpoint, fromSubtree, now, 0, restarted ? now : restartedMillis));
		refresh(endpoint.service());
		updates.add(endpoint);
	}

	private void put(Entry entry) {
		Endpoint endpoint = entry.endpoint();
		this.entries.put(endpoint.nodeId(), entry);
		this.byService.computeIfAbsent(endpoint.service(), (name) -> new TreeMap<>()).put(endpoint.nodeId(), entry);
	}

	/**
	 * Records that the entries of the parent differ from those of this process for some
	 * services. Entries that came from the parent count as unconfirmed until the parent
	 * sends them again.
	 * @param services selects the services
	 * @param now milliseconds of the clock
	 */
	void markUnconfirmed(Predicate<String> services, long now) {
		this.lock.lock();
		try {
			List<Entry> entriesFromParent = this.entries.values()
				.stream()
				.filter((entry) -> !entry.fromSubtree() && services.test(entry.endpoint().service()))
				.toList();
			entriesFromParent.forEach((entry) -> put(
					new Entry(entry.endpoint(), false, entry.changedMillis(), now, entry.restartedMillis())));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Marks all entries as confirmed, since the entries are compared with those of a new
	 * parent.
	 */
	void clearUnconfirmed() {
		this.lock.lock();
		try {
			this.entries.values()
				.stream()
				.filter((entry) -> entry.unconfirmedMillis() != 0)
				.toList()
				.forEach((entry) -> put(entry.confirmed()));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Removes entries that are no longer in the scope of a leaf and get no updates.
	 * @param services selects the services in scope
	 */
	void retain(Predicate<String> services) {
		this.lock.lock();
		try {
			List<Entry> outside = this.entries.values()
				.stream()
				.filter((entry) -> !entry.fromSubtree() && !services.test(entry.endpoint().service()))
				.toList();
			for (Entry entry : outside) {
				this.entries.remove(entry.endpoint().nodeId());
				remove(entry.endpoint());
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the entries that have been unconfirmed for longer than the limit.
	 * @param now milliseconds of the clock
	 * @return the entries in the expired state
	 */
	List<Endpoint> unconfirmed(long now) {
		return entries().stream()
			.filter((entry) -> entry.unconfirmedMillis() != 0
					&& now - entry.unconfirmedMillis() > TreeTimes.UNCONFIRMED_RETENTION_MILLIS)
			.map(Entry::endpoint)
			.filter((endpoint) -> endpoint.state() != EndpointState.EXPIRED)
			.map((endpoint) -> endpoint.withState(EndpointState.EXPIRED))
			.toList();
	}

	/**
	 * Returns announcements of services, expired ones included.
	 * @param services selects the services
	 * @param onlyFromSubtree whether to omit those that came from the parent
	 * @return the announcements
	 */
	List<Endpoint> select(Predicate<String> services, boolean onlyFromSubtree) {
		this.lock.lock();
		try {
			List<Endpoint> selected = new ArrayList<>();
			this.byService.forEach((service, nodes) -> {
				if (services.test(service)) {
					nodes.values()
						.stream()
						.filter((entry) -> entry.fromSubtree() || !onlyFromSubtree)
						.forEach((entry) -> selected.add(entry.endpoint()));
				}
			});
			return selected;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the digest of each service that has unexpired endpoints.
	 * @param services selects the services
	 * @return digest by service
	 */
	TreeMap<String, Long> digests(Predicate<String> services) {
		TreeMap<String, Long> digests = new TreeMap<>();
		this.unexpired.forEach((service, endpoints) -> {
			if (services.test(service)) {
				digests.put(service, digest(endpoints));
			}
		});
		return digests;
	}

	/**
	 * Returns one digest over services.
	 * @param services selects the services
	 * @return the digest, 0 if there are no unexpired endpoints
	 */
	long digest(Predicate<String> services) {
		long sum = 0;
		for (Map.Entry<String, Long> entry : digests(services).entrySet()) {
			sum += mix(entry.getKey().hashCode() * 31L + entry.getValue());
		}
		return sum;
	}

	/**
	 * Removes entries that expired more than 10 minutes ago.
	 * @param now milliseconds of the clock
	 */
	void removeExpired(long now) {
		this.lock.lock();
		try {
			List<Entry> old = this.entries.values()
				.stream()
				.filter((entry) -> entry.endpoint().state() == EndpointState.EXPIRED
						&& now - entry.changedMillis() > EXPIRED_RETENTION_MILLIS)
				.toList();
			for (Entry entry : old) {
				this.entries.remove(entry.endpoint().nodeId());
				remove(entry.endpoint());
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns a copy of all entries.
	 * @return the entries in no particular order
	 */
	Collection<Entry> entries() {
		this.lock.lock();
		try {
			return new ArrayList<>(this.entries.values());
		}
		finally {
			this.lock.unlock();
		}
	}

	private void remove(Endpoint endpoint) {
		TreeMap<String, Entry> nodes = this.byService.get(endpoint.service());
		if (nodes == null) {
			return;
		}
		nodes.remove(endpoint.nodeId());
		if (nodes.isEmpty()) {
			this.byService.remove(endpoint.service());
		}
		refresh(endpoint.service());
	}

	private void refresh(String service) {
		TreeMap<String, Entry> nodes = this.byService.getOrDefault(service, new TreeMap<>());
		List<Endpoint> endpoints = nodes.values()
			.stream()
			.map(Entry::endpoint)
			.filter((endpoint) -> endpoint.state() != EndpointState.EXPIRED)
			.toList();
		if (endpoints.isEmpty()) {
			this.unexpired.remove(service);
		}
		else {
			this.unexpired.put(service, endpoints);
		}
	}

	private static long digest(List<Endpoint> endpoints) {
		long sum = 0;
		for (Endpoint endpoint : endpoints) {
			long value = endpoint.nodeId().hashCode();
			value = mix(value * 31 + endpoint.incarnation());
			value = mix(value * 31 + endpoint.sequence());
			sum += value;
		}
		return sum;
	}

	/**
	 * Mixes the bits of a value, so that sums of mixed values rarely collide. Source:
	 * Steele, Lea and Flood, "Fast splittable pseudorandom number generators", OOPSLA
	 * 2014.
	 * @param value the value
	 * @return the mixed value
	 */
	static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

	/**
	 * Last announcement of a node.
	 *
	 * @param endpoint the announcement
	 * @param fromSubtree whether it came from this process or its subtree
	 * @param changedMillis when it was merged
	 * @param unconfirmedMillis when it became unconfirmed by the parent, 0 if it is
	 * confirmed
	 * @param restartedMillis when an announcement with a newer incarnation arrived, 0 if
	 * never
	 */
	record Entry(Endpoint endpoint, boolean fromSubtree, long changedMillis, long unconfirmedMillis,
			long restartedMillis) {

		Entry confirmed() {
			return new Entry(this.endpoint, this.fromSubtree, this.changedMillis, 0, this.restartedMillis);
		}

	}

}
