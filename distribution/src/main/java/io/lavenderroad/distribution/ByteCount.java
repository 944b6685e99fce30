package io.lavenderroad.distribution;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import io.lavenderroad.core.wire.Connection;

/**
 * Counts the control bytes of all connections of a process, closed ones included.
 */
final class ByteCount {

	private final Set<Connection> open = ConcurrentHashMap.newKeySet();

	private final LongAdder sent = new LongAdder();

	private final LongAdder received = new LongAdder();

	void opened(Connection connection) {
		this.open.add(connection);
	}

	void closed(Connection connection) {
		if (this.open.remove(connection)) {
			this.sent.add(connection.bytesSent());
			this.received.add(connection.bytesReceived());
		}
	}

	long sent() {
		return this.sent.sum() + this.open.stream().mapToLong(Connection::bytesSent).sum();
	}

	long received() {
		return this.received.sum() + this.open.stream().mapToLong(Connection::bytesReceived).sum();
	}

}
