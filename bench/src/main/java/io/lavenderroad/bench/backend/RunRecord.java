package io.lavenderroad.bench.backend;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * What a stand-in backend server ran. A request counts as started once it holds a slot.
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
	 * Returns how often the request with an id was started.
	 * @param id value of the header {@code Request-Id}
	 * @return count
	 */
	public int starts(String id) {
		return this.startsById.getOrDefault(id, 0);
	}

	/**
	 * Returns the starts of all requests with an id.
	 * @return counts by id
	 */
	public Map<String, Integer> startsById() {
		return new TreeMap<>(this.startsById);
	}

	/**
	 * Returns the started requests.
	 * @return count
	 */
	public long started() {
		return this.started.sum();
	}

	/**
	 * Returns the requests that ran to their end.
	 * @return count
	 */
	public long finished() {
		return this.finished.sum();
	}

	/**
	 * Returns the requests that stopped because the caller closed the connection.
	 * @return count
	 */
	public long cancelled() {
		return this.cancelled.sum();
	}

}
