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
 * What waits to be sent to one peer. Announcements of one node replace each other, so a
 * slow peer costs bounded memory. The lock belongs to this object.
 */
final class Outbox {

	/**
	 * Most announcements of one message, about 40 KB.
	 */
	private static final int MOST_ENDPOINTS = 256;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition filled = this.lock.newCondition();

	private final List<DistributionMessage> messages = new ArrayList<>();

	private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();

	private boolean awake;

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
						(known, offered) -> offered.replaces(known) ? offered : known);
			}
			this.filled.signal();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Lets the sender look for work that is not in this box.
	 */
	void wake() {
		this.lock.lock();
		try {
			this.awake = true;
			this.filled.signal();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Waits for something to send.
	 * @param waitMillis longest wait
	 * @return messages in order; empty after the wait or after {@link #wake()}
	 * @throws InterruptedException if the thread is interrupted
	 */
	List<DistributionMessage> take(long waitMillis) throws InterruptedException {
		this.lock.lock();
		try {
			long left = TimeUnit.MILLISECONDS.toNanos(waitMillis);
			while (this.messages.isEmpty() && this.endpoints.isEmpty() && !this.awake && left > 0) {
				left = this.filled.awaitNanos(left);
			}
			this.awake = false;
			List<DistributionMessage> taken = new ArrayList<>(this.messages);
			this.messages.clear();
			List<Endpoint> all = new ArrayList<>(this.endpoints.values());
			this.endpoints.clear();
			for (int start = 0; start < all.size(); start += MOST_ENDPOINTS) {
				taken.add(new EndpointUpdate(
						List.copyOf(all.subList(start, Math.min(all.size(), start + MOST_ENDPOINTS)))));
			}
			return taken;
		}
		finally {
			this.lock.unlock();
		}
	}

}
