package io.lavenderroad.core.wire;

/**
 * Handles the messages and requests of the peer of a connection.
 */
public interface ConnectionHandler {

	/**
	 * Handles a one-way message. Runs on the reader thread of the connection, in the
	 * order of arrival, and must not block.
	 * @param connection the connection
	 * @param message the message
	 */
	void received(Connection connection, Object message);

	/**
	 * Answers a request. Runs on a dedicated virtual thread and may block. The thread is
	 * interrupted if the connection closes.
	 * @param connection the connection
	 * @param request the request
	 * @return the answer, a message of the catalog
	 */
	Object answer(Connection connection, Object request);

	/**
	 * Called once after the connection has closed.
	 * @param connection the connection
	 * @param reason why it closed
	 */
	default void closed(Connection connection, String reason) {
	}

}
