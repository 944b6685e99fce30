package io.lavenderroad.daemon;

import io.lavenderroad.daemon.DaemonSettings.LogSettings;
import org.tinylog.configuration.Configuration;
import org.tinylog.provider.ProviderRegistry;

/**
 * Configures tinylog before its first use.
 */
final class LogConfiguration {

	private static final String FORMAT = "{date:yyyy-MM-dd'T'HH:mm:ss.SSSXXX} {level} {message}";

	private LogConfiguration() {
	}

	static void apply(LogSettings settings) {
		// By default tinylog closes the writer as soon as the process receives a stop
		// signal, which loses the log lines of the shutdown.
		Configuration.set("autoshutdown", "false");
		Configuration.set("level", settings.level());
		Configuration.set("writer.format", FORMAT);
		if (settings.file().isPresent()) {
			Configuration.set("writer", "file");
			Configuration.set("writer.file", settings.file().get().toString());
			Configuration.set("writer.append", "true");
		}
		else {
			Configuration.set("writer", BoundedConsoleWriter.NAME);
		}
	}

	/**
	 * Writes the queued lines and closes the log. Called as the last step of a process.
	 */
	static void close() {
		try {
			ProviderRegistry.getLoggingProvider().shutdown();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
