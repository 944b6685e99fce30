package io.lavenderroad.daemon;

/**
 * Sequence in which a node shuts down. The local backend server often keeps running, and
 * other nodes reach it only through this node. Its calls are therefore admitted until
 * callers have switched to other nodes; only then are they refused, so that the backend
 * server is unavailable as briefly as possible.
 */
final class NodeShutdown {

	private final Steps steps;

	private final Sleeper sleeper;

	private final long notReadyMillis;

	NodeShutdown(Steps steps, Sleeper sleeper, long notReadyMillis) {
		this.steps = steps;
		this.sleeper = sleeper;
		this.notReadyMillis = notReadyMillis;
	}

	void run() {
		this.steps.reportNotReady();
		try {
			this.sleeper.sleep(this.notReadyMillis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.steps.refuseNewCalls();
		this.steps.drainAndClose();
	}

	/**
	 * Actions of a node that shuts down.
	 */
	interface Steps {

		/**
		 * Reports the node as not ready. Calls are still served.
		 */
		void reportNotReady();

		/**
		 * Refuses new calls of other nodes with the verdict "not run".
		 */
		void refuseNewCalls();

		/**
		 * Waits for calls in flight and closes all resources.
		 */
		void drainAndClose();

	}

	/**
	 * Blocks the calling thread for a time; replaced in tests.
	 */
	@FunctionalInterface
	interface Sleeper {

		/**
		 * Sleeps.
		 * @param millis duration in milliseconds
		 * @throws InterruptedException if the thread is interrupted
		 */
		void sleep(long millis) throws InterruptedException;

	}

}
