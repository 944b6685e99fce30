package io.lavenderroad.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import io.lavenderroad.core.kernel.Kernel;
import org.tinylog.Logger;
import sun.misc.Signal;

/**
 * Reads the settings file again after SIGHUP and when its content has changed. Invalid
 * settings are reported and the old ones stay in force.
 */
final class SettingsWatch implements Runnable {

	private static final long CHECK_MILLIS = 1_000;

	private final Path file;

	private final Kernel kernel;

	private final RunningRole running;

	private final Semaphore signal = new Semaphore(0);

	private byte[] known;

	private SettingsWatch(Path file, Kernel kernel, RunningRole running) {
		this.file = file;
		this.kernel = kernel;
		this.running = running;
		this.known = content();
	}

	static void start(Path file, Kernel kernel, RunningRole running) {
		SettingsWatch watch = new SettingsWatch(file, kernel, running);
		Signal.handle(new Signal("HUP"), (received) -> watch.signal.release());
		Thread.ofVirtual().name("settings").start(watch);
	}

	@Override
	public void run() {
		try {
			while (true) {
				boolean signalled = this.signal.tryAcquire(CHECK_MILLIS, TimeUnit.MILLISECONDS);
				check(signalled);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void check(boolean signalled) {
		byte[] present = content();
		if (!signalled && Arrays.equals(present, this.known)) {
			return;
		}
		this.known = present;
		SettingsBinding.readFile(this.file, this.kernel.names(Role.POINT))
			.peekLeft((problems) -> Logger.warn("daemon: Changed settings are not used: {}.", problems.mkString("; ")))
			.peek((settings) -> {
				Logger.info("daemon: Reloaded the settings {}.", signalled ? "after a signal" : "after a change");
				this.running.reload(settings);
			});
	}

	private byte[] content() {
		try {
			return Files.readAllBytes(this.file);
		}
		catch (IOException ex) {
			Logger.warn("daemon: Cannot read {}: {}.", this.file, ex.getMessage());
			return (this.known != null) ? this.known : new byte[0];
		}
	}

}
