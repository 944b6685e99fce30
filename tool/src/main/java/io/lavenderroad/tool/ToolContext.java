package io.lavenderroad.tool;

import java.io.PrintStream;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import io.lavenderroad.core.Clock;

/**
 * Streams, environment, clock and transport of a command. Tests pass their own
 * implementations.
 *
 * @param out receives results
 * @param error receives messages about failures
 * @param environment environment variables
 * @param clock source of time
 * @param sleeper pauses between attempts
 * @param transport sends requests
 * @param ids generates change ids
 */
record ToolContext(PrintStream out, PrintStream error, Map<String, String> environment, Clock clock,
		ControlClient.Sleeper sleeper, HttpTransport transport, Supplier<String> ids) {

	private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss 'UTC'")
		.withZone(ZoneOffset.UTC);

	private static final Pattern ADDRESS = Pattern.compile("[A-Za-z0-9.-]{1,253}:[0-9]{1,5}");

	private static final String OPERATOR_VARIABLE = "LAVENDERROAD_OPERATOR";

	private static final long SECOND_MILLIS = 1_000;

	/**
	 * Creates a client for the member addresses given by the options or, without any, by
	 * the environment variable.
	 * @param options options of the command
	 * @return the client
	 */
	ControlClient client(CommonOptions options) {
		options.validate();
		List<String> addresses = new ArrayList<>(options.control);
		if (addresses.isEmpty()) {
			String variable = this.environment.getOrDefault(CommonOptions.CONTROL_VARIABLE, "");
			Arrays.stream(variable.split(","))
				.map(String::strip)
				.filter((part) -> !part.isEmpty())
				.forEach(addresses::add);
		}
		if (addresses.isEmpty()) {
			throw new ToolException(ExitCode.USAGE,
					"no control members: pass --control HOST:PORT,... or set " + CommonOptions.CONTROL_VARIABLE);
		}
		for (String address : addresses) {
			if (!ADDRESS.matcher(address).matches()) {
				throw new ToolException(ExitCode.USAGE, "--control: found '" + address + "'; allowed: HOST:PORT");
			}
		}
		return new ControlClient(this.transport, this.clock, this.sleeper, addresses,
				options.timeLimitSeconds * SECOND_MILLIS);
	}

	/**
	 * Returns the name of the operator.
	 * @param option value of the option, or empty
	 * @return the option, the environment variable or the name of the user
	 */
	String operator(String option) {
		if (!option.isEmpty()) {
			return option;
		}
		String name = this.environment.getOrDefault(OPERATOR_VARIABLE, this.environment.getOrDefault("USER", ""));
		return name.isEmpty() ? "unnamed" : name;
	}

	/**
	 * Formats a time.
	 * @param millis milliseconds since the epoch
	 * @return the time in UTC
	 */
	static String time(long millis) {
		return TIME.format(Instant.ofEpochMilli(millis));
	}

}
