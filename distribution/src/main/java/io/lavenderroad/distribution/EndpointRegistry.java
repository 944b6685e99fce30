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
 * The endpoints known to one process. Announcements merge in any order to the same
 * result. Readers take no lock; the lock belongs to the writers.
 */
public final class EndpointRegistry {

	/**
	 * How long an expired entry is kept, so that an old announcement cannot bring it
	 * back.
	 */
	static final long EXPIRED_MEMORY_MILLIS = 10 * 60 * 1_000;

	private final ReentrantLock lock = new ReentrantLock();

	private final Map<String, Entry> entries = new HashMap<>();

	private final Map<String, TreeMap<String, Entry>> byService = new HashMap<>();

	private final Map<String, List<Endpoint>> live = new ConcurrentHashMap<>();

	/**
	 * Returns the endpoints of a service.
	 * @param service name of the service
	 * @return endpoints in every state but expired, in the order of the node ids
	 */
	public List<Endpoint> live(String service) {
		return this.live.getOrDefault(service, List.of());
	}

	/**
	 * Returns all endpoints that have not expired.
	 * @return endpoints by service and node id
	 */
	public List<Endpoint> live() {
		return this.live.entrySet()
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
	 * @param fromBelow whether they came from this process or its subtree
	 * @param now milliseconds of the clock
	 * @return what to pass on: the announcements that replaced what was known, and
	 * expired copies of those whose node now serves another service, for receivers that
	 * have only the old service in scope
	 */
	List<Endpoint> merge(Collection<Endpoint> endpoints, boolean fromBelow, long now) {
		this.lock.lock();
		try {
			List<Endpoint> news = new ArrayList<>();
			endpoints.forEach((endpoint) -> merge(endpoint, fromBelow, now, news));
			return news;
		}
		finally {
			this.lock.unlock();
		}
	}

	private void merge(Endpoint endpoint, boolean fromBelow, long now, List<Endpoint> news) {
		Entry known = this.entries.get(endpoint.nodeId());
		if (known != null && !endpoint.replaces(known.endpoint())) {
			boolean same = !known.endpoint().replaces(endpoint);
			if (same && !fromBelow && known.unconfirmedMillis() != 0) {
				put(known.confirmed());
			}
			return;
		}
		if (known != null && !known.endpoint().service().equals(endpoint.service())) {
			remove(known.endpoint());
			news.add(known.endpoint().withState(EndpointState.EXPIRED));
		}
		boolean restarted = known != null && endpoint.incarnation() > known.endpoint().incarnation();
		long restartedMillis = (known != null) ? known.restartedMillis() : 0;
		put(new Entry(endpoint, fromBelow, now, 0, restarted ? now : restartedMillis));
		refresh(endpoint.service());
		news.add(endpoint);
	}

	private void put(Entry entry) {
		Endpoint endpoint = entry.endpoint();
		this.entries.put(endpoint.nodeId(), entry);
		this.byService.computeIfAbsent(endpoint.service(), (name) -> new TreeMap<>()).put(endpoint.nodeId(), entry);
	}

	/**
	 * Notes that the parent has other entries than this process for some services. Those
	 * learned from above count as unconfirmed until they come from above again.
	 * @param services selects the services
	 * @param now milliseconds of the clock
	 */
	void doubt(Predicate<String> services, long now) {
		this.lock.lock();
		try {
			List<Entry> doubtful = this.entries.values()
				.stream()
				.filter((entry) -> !entry.fromBelow() && services.test(entry.endpoint().service()))
				.toList();
			doubtful.forEach((entry) -> put(
					new Entry(entry.endpoint(), false, entry.changedMillis(), now, entry.restartedMillis())));
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Ends all doubts, since another parent will state what it knows.
	 */
	void trust() {
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
	 * Removes entries that left the scope of a leaf and get no updates any more.
	 * @param services selects the services in scope
	 */
	void retain(Predicate<String> services) {
		this.lock.lock();
		try {
			List<Entry> outside = this.entries.values()
				.stream()
				.filter((entry) -> !entry.fromBelow() && !services.test(entry.endpoint().service()))
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
	 * Returns the entries that stayed unconfirmed for too long.
	 * @param now milliseconds of the clock
	 * @return the entries in the expired state
	 */
	List<Endpoint> unconfirmed(long now) {
		return entries().stream()
			.filter((entry) -> entry.unconfirmedMillis() != 0
					&& now - entry.unconfirmedMillis() > TreeTimes.UNCONFIRMED_MILLIS)
			.map(Entry::endpoint)
			.filter((endpoint) -> endpoint.state() != EndpointState.EXPIRED)
			.map((endpoint) -> endpoint.withState(EndpointState.EXPIRED))
			.toList();
	}

	/**
	 * Returns announcements of services, expired ones included.
	 * @param services selects the services
	 * @param onlyFromBelow whether to leave out those learned from above
	 * @return the announcements
	 */
	List<Endpoint> select(Predicate<String> services, boolean onlyFromBelow) {
		this.lock.lock();
		try {
			List<Endpoint> selected = new ArrayList<>();
			this.byService.forEach((service, nodes) -> {
				if (services.test(service)) {
					nodes.values()
						.stream()
						.filter((entry) -> entry.fromBelow() || !onlyFromBelow)
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
	 * Returns the digest of each service that has live endpoints.
	 * @param services selects the services
	 * @return digest by service
	 */
	TreeMap<String, Long> digests(Predicate<String> services) {
		TreeMap<String, Long> digests = new TreeMap<>();
		this.live.forEach((service, endpoints) -> {
			if (services.test(service)) {
				digests.put(service, digest(endpoints));
			}
		});
		return digests;
	}

	/**
	 * Returns one digest over services.
	 * @param services selects the services
	 * @return the digest, 0 if there are no live endpoints
	 */
	long digest(Predicate<String> services) {
		long sum = 0;
		for (Map.Entry<String, Long> entry : digests(services).entrySet()) {
			sum += mix(entry.getKey().hashCode() * 31L + entry.getValue());
		}
		return sum;
	}

	/**
	 * Forgets entries that expired long ago.
	 * @param now milliseconds of the clock
	 */
	void forgetExpired(long now) {
		this.lock.lock();
		try {
			List<Entry> old = this.entries.values()
				.stream()
				.filter((entry) -> entry.endpoint().state() == EndpointState.EXPIRED
						&& now - entry.changedMillis() > EXPIRED_MEMORY_MILLIS)
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
	 * @return the entries in no order
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
			this.live.remove(service);
		}
		else {
			this.live.put(service, endpoints);
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
	 * Mixes the bits of a value, so that sums of values seldom collide. Source: Steele,
	 * Lea and Flood, "Fast splittable pseudorandom number generators", OOPSLA 2014.
	 * @param value the value
	 * @return the mixed value
	 */
	static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

	/**
	 * One known announcement.
	 *
	 * @param endpoint the announcement
	 * @param fromBelow whether it came from this process or its subtree
	 * @param changedMillis when it was merged
	 * @param unconfirmedMillis since when the parent does not know it, 0 if it does
	 * @param restartedMillis when the node was seen with a newer incarnation than before,
	 * 0 if never
	 */
	record Entry(Endpoint endpoint, boolean fromBelow, long changedMillis, long unconfirmedMillis,
			long restartedMillis) {

		Entry confirmed() {
			return new Entry(this.endpoint, this.fromBelow, this.changedMillis, 0, this.restartedMillis);
		}

	}

}
