package io.lavenderroad.node.http;

import java.util.Optional;

/**
 * Final state of one exchange: completed, or aborted because of its timeout or because
 * the caller has disconnected. The first of these wins.
 */
final class ExchangeState {

	private boolean completed;

	private BackendFailure failure;

	/**
	 * Aborts the exchange and closes its connection, unless it has already completed or
	 * been aborted.
	 * @param connection connection of the exchange
	 * @param abortFailure why the exchange is aborted
	 */
	void abort(BackendConnection connection, BackendFailure abortFailure) {
		synchronized (this) {
			if (this.completed || this.failure != null) {
				return;
			}
			this.failure = abortFailure;
		}
		connection.close();
	}

	/**
	 * Marks the exchange as completed, because the complete response has been read.
	 * @return false if the exchange was aborted, which closed its connection
	 */
	synchronized boolean complete() {
		this.completed = true;
		return this.failure == null;
	}

	synchronized Optional<BackendFailure> failure() {
		return Optional.ofNullable(this.failure);
	}

}
