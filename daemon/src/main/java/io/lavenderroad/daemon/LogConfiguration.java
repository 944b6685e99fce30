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
		// The default closes the writer as soon as the process is told to stop.
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
	 * Writes what is left and closes the log, as the last step of a process.
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
