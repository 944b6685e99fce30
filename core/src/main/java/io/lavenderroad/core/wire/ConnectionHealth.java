package io.lavenderroad.core.wire;

/**
 * Health of a connection and the action that it requires. A node is connected to many
 * others and rarely uses most of these connections, so frequent heartbeats are sent only
 * while an answer is pending.
 */
enum ConnectionHealth {

	/**
	 * No action is required.
	 */
	GOOD,

	/**
	 * A heartbeat must be sent to the peer.
	 */
	HEARTBEAT_DUE,

	/**
	 * Nothing was received from the peer for longer than the receive timeout.
	 */
	SILENT;

	/**
	 * Factor by which the heartbeat interval and the receive timeout are longer on an
	 * idle connection.
	 */
	static final int IDLE_FACTOR = 10;

	/**
	 * Evaluates the state of a connection. While this process waits for an answer, the
	 * peer works on it and sends heartbeats at short intervals, so that a failure of the
	 * peer is detected quickly.
	 * @param nowMillis current time in milliseconds
	 * @param lastSentMillis when the last frame was sent
	 * @param lastReceivedMillis when the last bytes were received
	 * @param waitingSinceMillis since when this process waits for answers of the peer or
	 * for the peer to read, 0 if it does not wait
	 * @param answering whether this process works on requests of the peer
	 * @param options intervals of a connection in use
	 * @return the health of the connection
	 */
	static ConnectionHealth of(long nowMillis, long lastSentMillis, long lastReceivedMillis, long waitingSinceMillis,
			boolean answering, WireOptions options) {
		boolean waiting = waitingSinceMillis > 0;
		long receiveTimeout = waiting ? options.receiveTimeoutMillis()
				: (long) IDLE_FACTOR * options.receiveTimeoutMillis();
		if (nowMillis - Math.max(lastReceivedMillis, waitingSinceMillis) > receiveTimeout) {
			return SILENT;
		}
		long interval = (waiting || answering) ? options.heartbeatMillis()
				: (long) IDLE_FACTOR * options.heartbeatMillis();
		return (nowMillis - lastSentMillis >= interval) ? HEARTBEAT_DUE : GOOD;
	}

}
