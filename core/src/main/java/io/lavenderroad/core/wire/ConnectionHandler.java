package io.lavenderroad.core.wire;

/**
 * Receives what the peer of a connection sends.
 */
public interface ConnectionHandler {

	/**
	 * Handles a one-way message. Runs on the reader of the connection, in the order of
	 * arrival, and must not block.
	 * @param connection the connection
	 * @param message the message
	 */
	void received(Connection connection, Object message);

	/**
	 * Answers a request. Runs on a virtual thread of its own and may block. The thread is
	 * interrupted if the connection closes.
	 * @param connection the connection
	 * @param request the request
	 * @return the answer, a message of the catalog
	 */
	Object answer(Connection connection, Object request);

	/**
	 * Is told once that the connection has closed.
	 * @param connection the connection
	 * @param reason why it closed
	 */
	default void closed(Connection connection, String reason) {
	}

}
