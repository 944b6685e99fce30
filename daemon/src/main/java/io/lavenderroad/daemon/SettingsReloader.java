package io.lavenderroad.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

import io.lavenderroad.core.kernel.Kernel;
import org.tinylog.Logger;

/**
 * Reloads the settings file on SIGHUP and when its content has changed. Invalid settings
 * are logged and the previous ones stay active.
 */
final class SettingsReloader implements Runnable {

	private static final long POLL_INTERVAL_MILLIS = 1_000;

	private final Path file;

	private final Kernel kernel;

	private final ReloadSignal signal = ReloadSignal.install();

	private RunningRole running;

	private byte[] lastContent;

	/**
	 * Creates a reloader, which keeps signals and changes of the file from now on until
	 * it is started.
	 * @param file settings file
	 * @param kernel knows the roles that settings may name
	 */
	SettingsReloader(Path file, Kernel kernel) {
		this.file = file;
		this.kernel = kernel;
		this.lastContent = readContent();
	}

	void start(RunningRole startedRole) {
		this.running = startedRole;
		Thread.ofVirtual().name("settings").start(this);
	}

	@Override
	public void run() {
		try {
			while (true) {
				reloadIfChanged(this.signal.await(POLL_INTERVAL_MILLIS));
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
