package io.lavenderroad.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import io.lavenderroad.distribution.DistributionMessages.EndpointUpdate;
import io.lavenderroad.model.Endpoint;

/**
 * Queue of messages to one peer. A newer announcement of a node replaces the queued one,
 * so the memory for announcements to a slow peer is bounded. Thread-safe.
 */
final class Outbox {

	/**
	 * Maximum number of announcements in one message, about 40 KB.
	 */
	private static final int MAXIMUM_ENDPOINTS = 256;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition filled = this.lock.newCondition();

	private final List<DistributionMessage> messages = new ArrayList<>();

	private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();

	private boolean wakeRequested;

	void offer(DistributionMessage message) {
		this.lock.lock();
		try {
			this.messages.add(message);
			this.filled.signal();
		}
		finally {
			this.lock.unlock();
		}
	}

	void offer(Collection<Endpoint> announcements) {
		if (announcements.isEmpty()) {
			return;
		}
		this.lock.lock();
		try {
			for (Endpoint endpoint : announcements) {
				this.endpoints.merge(endpoint.nodeId(), endpoint,
						(queued, offered) -> offered.replaces(queued) ? offered : queued);
			}
			this.filled.signal();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Wakes the sender for work that is not in this queue.
	 */
	void wake() {
		this.lock.lock();
		try {
			this.wakeRequested = true;
			this.filled.signal();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits for something to send.
	 * @param waitMillis maximum wait
	 * @return messages in order; empty after the wait or after {@link #wake()}
	 * @throws InterruptedException if the thread is interrupted
	 */
	List<DistributionMessage> take(long waitMillis) throws InterruptedException {
		this.lock.lock();
		try {
			long remainingNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
			while (this.messages.isEmpty() && this.endpoints.isEmpty() && !this.wakeRequested && remainingNanos > 0) {
				remainingNanos = this.filled.awaitNanos(remainingNanos);
			}
			this.wakeRequested = false;
			List<DistributionMessage> taken = new ArrayList<>(this.messages);
			this.messages.clear();
			List<Endpoint> all = new ArrayList<>(this.endpoints.values());
			this.endpoints.clear();
			for (int start = 0; start < all.size(); start += MAXIMUM_ENDPOINTS) {
				taken.add(new EndpointUpdate(
						List.copyOf(all.subList(start, Math.min(all.size(), start + MAXIMUM_ENDPOINTS)))));
			}
			return taken;
		}
		finally {
			this.lock.unlock();
		}
	}

}
