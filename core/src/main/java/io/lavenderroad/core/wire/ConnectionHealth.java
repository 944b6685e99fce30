package io.lavenderroad.core.wire;

/**
 * What a process does about a connection. A node is connected to many others and uses
 * most connections rarely, so that heartbeats are sent often only while an answer is due.
 */
enum ConnectionHealth {

	/**
	 * Nothing is due.
	 */
	GOOD,

	/**
	 * The peer has to hear something.
	 */
	HEARTBEAT_DUE,

	/**
	 * The peer has been silent for too long.
	 */
	SILENT;

	/**
	 * How many times longer heartbeats and silence may take on an idle connection.
	 */
	static final int IDLE_FACTOR = 10;

	/**
	 * Decides from plain readings. While this process waits for an answer, the peer works
	 * on it and sends heartbeats in short intervals, so that its silence is noticed soon.
	 * @param nowMillis clock reading in milliseconds
	 * @param lastSentMillis when the last frame was sent
	 * @param lastReceivedMillis when the last frame was received
	 * @param waitingSinceMillis since when this process waits for answers of the peer or
	 * for the peer to read, 0 if it does not
	 * @param answering whether this process works on requests of the peer
	 * @param options intervals of a connection in use
	 * @return the verdict
	 */
	static ConnectionHealth of(long nowMillis, long lastSentMillis, long lastReceivedMillis, long waitingSinceMillis,
			boolean answering, WireOptions options) {
		boolean waiting = waitingSinceMillis > 0;
		long silenceLimit = waiting ? options.silenceLimitMillis() : (long) IDLE_FACTOR * options.silenceLimitMillis();
		if (nowMillis - Math.max(lastReceivedMillis, waitingSinceMillis) > silenceLimit) {
			return SILENT;
		}
		long interval = (waiting || answering) ? options.heartbeatMillis()
				: (long) IDLE_FACTOR * options.heartbeatMillis();
		return (nowMillis - lastSentMillis >= interval) ? HEARTBEAT_DUE : GOOD;
	}

}
