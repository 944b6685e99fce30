package io.lavenderroad.node.http;

import java.util.ArrayList;
import java.util.List;

/**
 * Says that nobody waits for the answer of a call any longer. Actions are used in place
 * of interrupts, because an interrupt would close a socket that the thread shares with
 * other calls.
 */
public final class Cancellation {

	private final List<Runnable> actions = new ArrayList<>(2);

	private boolean cancelled;

	/**
	 * Cancels the call: runs the actions once.
	 */
	public void cancel() {
		List<Runnable> due;
		synchronized (this) {
			if (this.cancelled) {
				return;
			}
			this.cancelled = true;
			due = List.copyOf(this.actions);
		}
		due.forEach(Runnable::run);
	}

	/**
	 * Adds an action, run at once if the call is cancelled already.
	 * @param action must not block
	 */
	public void onCancel(Runnable action) {
		synchronized (this) {
			if (!this.cancelled) {
				this.actions.add(action);
				return;
			}
		}
		action.run();
	}

	/**
	 * Tells whether the call was cancelled.
	 * @return true from the cancellation on
	 */
	public synchronized boolean isCancelled() {
		return this.cancelled;
	}

}
