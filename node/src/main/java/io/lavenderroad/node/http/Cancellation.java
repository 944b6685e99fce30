package io.lavenderroad.node.http;

import java.util.ArrayList;
import java.util.List;

/**
 * Cancellation signal of a call whose caller has disconnected. It runs registered actions
 * instead of interrupting a thread, because an interrupt would close a socket that the
 * thread shares with other calls.
 */
public final class Cancellation {

	private final List<Runnable> actions = new ArrayList<>(2);

	private boolean cancelled;

	/**
	 * Cancels the call and runs the registered actions. Has no effect if called again.
	 */
	public void cancel() {
		List<Runnable> pending;
		synchronized (this) {
			if (this.cancelled) {
				return;
			}
			this.cancelled = true;
			pending = List.copyOf(this.actions);
		}
		pending.forEach(Runnable::run);
	}

	/**
	 * Registers an action. It runs immediately if the call is already cancelled.
	 * @param action the action, which must not block
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
	 * Returns whether the call was cancelled.
	 * @return true from the cancellation on
	 */
	public synchronized boolean isCancelled() {
		return this.cancelled;
	}

}
