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
 * Reloads the settings file on SIGHUP and when its content has changed. Invalid settings
 * are logged and the previous ones stay active.
 */
final class SettingsReloader implements Runnable {

	private static final long POLL_INTERVAL_MILLIS = 1_000;

	private final Path file;

	private final Kernel kernel;

	private final RunningRole running;

	private final Semaphore reloadSignal = new Semaphore(0);

	private byte[] lastContent;

	private SettingsReloader(Path file, Kernel kernel, RunningRole running) {
		this.file = file;
		this.kernel = kernel;
		this.running = running;
		this.lastContent = readContent();
	}

	static void start(Path file, Kernel kernel, RunningRole running) {
		SettingsReloader reloader = new SettingsReloader(file, kernel, running);
		Signal.handle(new Signal("HUP"), (received) -> reloader.reloadSignal.release());
		Thread.ofVirtual().name("settings").start(reloader);
	}

	@Override
	public void run() {
		try {
			while (true) {
				boolean signalled = this.reloadSignal.tryAcquire(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
				reloadIfChanged(signalled);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void reloadIfChanged(boolean signalled) {
		byte[] content = readContent();
		if (!signalled && Arrays.equals(content, this.lastContent)) {
			return;
		}
		this.lastContent = content;
		SettingsBinding.readFile(this.file, this.kernel.names(Role.EXTENSION_POINT))
			.peekLeft((problems) -> Logger.warn(
					"daemon: Rejected the changed settings, the previous ones stay active: {}.",
					problems.mkString("; ")))
			.peek((settings) -> {
				Logger.info("daemon: Reloaded the settings {}.", signalled ? "after a signal" : "after a change");
				this.running.reload(settings);
			});
	}

	private byte[] readContent() {
		try {
			return Files.readAllBytes(this.file);
		}
		catch (IOException ex) {
			Logger.warn("daemon: Cannot read {}: {}.", this.file, ex.getMessage());
			return (this.lastContent != null) ? this.lastContent : new byte[0];
		}
	}

}
