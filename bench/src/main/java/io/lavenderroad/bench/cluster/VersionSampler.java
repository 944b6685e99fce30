package io.lavenderroad.bench.cluster;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.lavenderroad.bench.history.HistoryEvent;
import io.lavenderroad.core.Clock;

/**
 * Polls the active version of every node through the administration ports and records
 * each change in the history.
 */
public final class VersionSampler implements AutoCloseable {

	private static final long PERIOD_MILLIS = 20;

	private static final long POLL_MILLIS = 5;

	private final ProcessCluster cluster;

	private final OperatorClient client;

	private final Consumer<HistoryEvent> history;

	private final Clock clock;

	private final Map<String, Sample> versions = new ConcurrentHashMap<>();

	private final Map<String, Thread> watchers = new ConcurrentHashMap<>();

	private volatile boolean running = true;

	/**
	 * Creates a sampler that polls no node yet.
	 * @param cluster the deployment
	 * @param client reads the administration ports
	 * @param history receives the version changes
	 * @param clock clock of the history
	 */
	public VersionSampler(ProcessCluster cluster, OperatorClient client, Consumer<HistoryEvent> history, Clock clock) {
		this.cluster = cluster;
		this.client = client;
		this.history = history;
		this.clock = clock;
	}

	/**
	 * Starts polling every node that is not polled yet.
	 */
	public void watchAll() {
		for (String id : this.cluster.ids(false)) {
			this.watchers.computeIfAbsent(id, (key) -> Thread.ofVirtual().start(() -> watch(id)));
		}
	}

	/**
	 * Waits until a version is active on all given nodes.
	 * @param nodeIds ids of the nodes
	 * @param version the version, or a later one
	 * @param timeoutMillis timeout of the wait
	 * @return milliseconds from this call until the last of them reported it; empty after
	 * the timeout
	 */
	public Optional<Long> await(List<String> nodeIds, long version, long timeoutMillis) {
		long start = this.clock.millis();
		while (this.clock.millis() - start < timeoutMillis) {
			if (nodeIds.stream().allMatch((id) -> version(id) >= version)) {
				long last = nodeIds.stream().mapToLong((id) -> this.versions.get(id).sinceMillis()).max().orElse(start);
				return Optional.of(Math.max(0, last - start));
			}
			sleep(POLL_MILLIS);
		}
		return Optional.empty();
	}

	/**
	 * Returns the last reported version of a node.
	 * @param nodeId id of the node
	 * @return the active version, 0 if none was reported
	 */
	public long version(String nodeId) {
		return Optional.ofNullable(this.versions.get(nodeId)).map(Sample::version).orElse(0L);
	}

	/**
	 * Removes the last report of a node, so that a wait needs a new one.
	 * @param nodeId id of the node
	 */
	public void clearSample(String nodeId) {
		this.versions.remove(nodeId);
	}

	@Override
	public void close() {
		this.running = false;
		this.watchers.values().forEach(Thread::interrupt);
	}

	private void watch(String id) {
		String address = this.cluster.address(id) + ":" + ProcessCluster.ADMIN_PORT;
		while (this.running) {
			this.client.get(address, "/status").ifPresent((status) -> recordSample(id, status));
			sleep(PERIOD_MILLIS);
		}
	}

	private void recordSample(String id, Map<String, Object> status) {
		long version = ((Number) status.get("version")).longValue();
		if (version == 0) {
			return;
		}
		Sample before = this.versions.get(id);
		if (before == null || before.version() != version) {
			long now = this.clock.millis();
			this.versions.put(id, new Sample(version, now));
			int missing = ((List<?>) status.get("missingResources")).size();
			this.history.accept(new HistoryEvent.VersionInForce(now, id, version, missing,
					String.valueOf(status.get("digest")), ""));
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record Sample(long version, long sinceMillis) {

	}

}
