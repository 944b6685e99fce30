package io.lavenderroad.daemon;

import io.lavenderroad.daemon.DaemonSettings.LogSettings;
import org.tinylog.configuration.Configuration;

/**
 * Configures tinylog before its first use.
 */
final class LogConfiguration {

	private static final String FORMAT = "{date:yyyy-MM-dd'T'HH:mm:ss.SSSXXX} {level} {message}";

	private LogConfiguration() {
	}

	static void apply(LogSettings settings) {
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

}
