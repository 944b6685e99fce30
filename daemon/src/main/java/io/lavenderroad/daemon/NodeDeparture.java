package io.lavenderroad.daemon;

/**
 * Order in which a node stops. The backend server beside it often goes on running and is
 * reached by other nodes through this one alone, so its calls are admitted until callers
 * have gone elsewhere; only then is it out of use, for as short as possible.
 */
final class NodeDeparture {

	private final Steps steps;

	private final Pause pause;

	private final long leaveMillis;

	NodeDeparture(Steps steps, Pause pause, long leaveMillis) {
		this.steps = steps;
		this.pause = pause;
		this.leaveMillis = leaveMillis;
	}

	void run() {
		this.steps.sendCallersElsewhere();
		try {
			this.pause.millis(this.leaveMillis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.steps.admitNoMoreCalls();
		this.steps.finishAndClose();
	}

	/**
	 * What a node does to stop.
	 */
	interface Steps {

		/**
		 * Says that the node is not ready. Callers are still served.
		 */
		void sendCallersElsewhere();

		/**
		 * Refuses new calls of other nodes as "not run".
		 */
		void admitNoMoreCalls();

		/**
		 * Waits for what is in flight and closes everything.
		 */
		void finishAndClose();

	}

	/**
	 * Waits.
	 */
	@FunctionalInterface
	interface Pause {

		/**
		 * Waits.
		 * @param millis how long
		 * @throws InterruptedException if the thread is interrupted
		 */
		void millis(long millis) throws InterruptedException;

	}

}
