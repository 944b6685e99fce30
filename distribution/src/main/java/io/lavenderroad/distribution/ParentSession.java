package io.lavenderroad.distribution;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.distribution.DistributionMessages.Accepted;
import io.lavenderroad.distribution.DistributionMessages.ChildHeartbeat;
import io.lavenderroad.distribution.DistributionMessages.Hop;
import io.lavenderroad.distribution.DistributionMessages.ParentHeartbeat;

/**
 * Session with a parent. One virtual thread sends; the reader of the connection updates
 * the state of the parent.
 */
final class ParentSession {

	private final Clock clock;

	private final Connection connection;

	private final Outbox outbox = new Outbox();

	private final AtomicBoolean leaving = new AtomicBoolean();

	private volatile List<Hop> path;

	private volatile long parentVersion;

	private volatile long rootContactMillis;

	private volatile boolean progressDue;

	ParentSession(Clock clock, Connection connection, Accepted accepted) {
		this.clock = clock;
		this.connection = connection;
		this.path = accepted.path();
		this.parentVersion = accepted.version();
		this.rootContactMillis = clock.millis() - accepted.rootAgeMillis();
	}

	Connection connection() {
		return this.connection;
	}

	/**
	 * Returns the parent.
	 * @return the last hop of the path
	 */
	Hop parent() {
		return this.path.getLast();
	}

	List<Hop> path() {
		return this.path;
	}

	void pathChanged(List<Hop> newPath) {
		this.path = newPath;
	}

	long parentVersion() {
		return this.parentVersion;
	}

	Outbox outbox() {
		return this.outbox;
	}

	void heartbeat(ParentHeartbeat heartbeat) {
		this.parentVersion = heartbeat.version();
		this.rootContactMillis = this.clock.millis() - heartbeat.rootAgeMillis();
	}

	long rootAgeMillis() {
		return Math.max(0, this.clock.millis() - this.rootContactMillis);
	}

	/**
	 * Describes the state of the connection and the last contact for the logs.
	 * @return part of a sentence
	 */
	String describeContact() {
		return (this.connection.isOpen() ? "open" : "closed") + ", silent for " + silenceMillis()
				+ " ms, last confirmation from a root " + rootAgeMillis() + " ms ago";
	}

	void parentIsLeaving() {
		this.leaving.set(true);
	}

	/**
	 * Determines the health of the parent.
	 * @param selfId id of this process
	 * @return the health
	 */
	ParentHealth health(String selfId) {
		return ParentHealth.of(this.connection.isOpen(), TreePath.usable(this.path, selfId), this.leaving.get(),
				silenceMillis(), rootAgeMillis(), this.path.size());
	}

	private long silenceMillis() {
		return this.clock.millis() - this.connection.lastReceivedMillis();
	}

	/**
	 * Schedules a heartbeat that reports the active versions to the parent.
	 */
	void reportProgress() {
		this.progressDue = true;
		this.outbox.wake();
	}

	/**
	 * Starts the thread that sends to the parent. It ends when the connection closes.
	 * @param heartbeat creates a heartbeat
	 */
	void start(Supplier<ChildHeartbeat> heartbeat) {
		Thread.ofVirtual().name("parent " + parent().id()).start(() -> sendAll(heartbeat));
	}

	private void sendAll(Supplier<ChildHeartbeat> heartbeat) {
		long lastSentMillis = 0;
		try {
			while (this.connection.isOpen()) {
				for (DistributionMessage message : this.outbox.take(TreeTimes.CHECK_MILLIS)) {
					this.connection.send(message);
				}
				long now = this.clock.millis();
				if (this.progressDue || now - lastSentMillis >= TreeTimes.HEARTBEAT_MILLIS) {
					this.progressDue = false;
					this.connection.send(heartbeat.get());
					lastSentMillis = now;
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
