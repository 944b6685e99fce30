package io.lavenderroad.bench.backend;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the requests that a stub backend server ran. A request counts as started once it
 * holds a slot.
 */
public final class RunRecord {

	private final Map<String, Integer> startsById = new ConcurrentHashMap<>();

	private final LongAdder started = new LongAdder();

	private final LongAdder finished = new LongAdder();

	private final LongAdder cancelled = new LongAdder();

	void countStart(String id) {
		this.started.increment();
		if (!id.isEmpty()) {
			this.startsById.merge(id, 1, Integer::sum);
		}
	}

	void countFinish() {
		this.finished.increment();
	}

	void countCancellation() {
		this.cancelled.increment();
	}

	/**
	 * Returns how often requests with an id were started.
	 * @param id value of the header {@code Request-Id}
	 * @return count
	 */
	public int starts(String id) {
		return this.startsById.getOrDefault(id, 0);
	}

	/**
	 * Returns how often requests were started, for all ids.
	 * @return counts by id
	 */
	public Map<String, Integer> startsById() {
		return new TreeMap<>(this.startsById);
	}

	/**
	 * Returns the number of started requests.
	 * @return count
	 */
	public long started() {
		return this.started.sum();
	}

	/**
	 * Returns the number of requests that ran to completion.
	 * @return count
	 */
	public long finished() {
		return this.finished.sum();
	}

	/**
	 * Returns the number of requests that were cancelled because the caller closed the
	 * connection.
	 * @return count
	 */
	public long cancelled() {
		return this.cancelled.sum();
	}

}
