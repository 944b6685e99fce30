package io.lavenderroad.daemon;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import sun.misc.Signal;

/**
 * Receives SIGHUP. Without a handler the signal ends the process, so it is installed
 * before anything else; a signal that arrives while the process starts is kept.
 */
final class ReloadSignal {

	private final Semaphore received = new Semaphore(0);

	private ReloadSignal() {
	}

	/**
	 * Installs the handler.
	 * @return receives the signals from now on
	 */
	static ReloadSignal install() {
		ReloadSignal signal = new ReloadSignal();
		Signal.handle(new Signal("HUP"), (number) -> signal.received.release());
		return signal;
	}

	/**
	 * Waits for a signal. Several signals since the last call count as one.
	 * @param timeoutMillis maximum wait in milliseconds
	 * @return whether a signal was received
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean await(long timeoutMillis) throws InterruptedException {
		boolean signalled = this.received.tryAcquire(timeoutMillis, TimeUnit.MILLISECONDS);
		this.received.drainPermits();
		return signalled;
	}

}
