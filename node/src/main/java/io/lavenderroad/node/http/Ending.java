package io.lavenderroad.node.http;

import java.util.Optional;

/**
 * How one exchange ended: by itself, or early because its answer is overdue or nobody
 * waits for it. Only one of them happens.
 */
final class Ending {

	private boolean finished;

	private BackendFailure cause;

	/**
	 * Ends the exchange early unless it has finished.
	 * @param connection connection of the exchange
	 * @param reason why it ends
	 */
	void end(BackendConnection connection, BackendFailure reason) {
		synchronized (this) {
			if (this.finished || this.cause != null) {
				return;
			}
			this.cause = reason;
		}
		connection.close();
	}

	/**
	 * Notes that the whole answer is here.
	 * @return false if the exchange was ended early, which closed its connection
	 */
	synchronized boolean finish() {
		this.finished = true;
		return this.cause == null;
	}

	synchronized Optional<BackendFailure> cause() {
		return Optional.ofNullable(this.cause);
	}

}
