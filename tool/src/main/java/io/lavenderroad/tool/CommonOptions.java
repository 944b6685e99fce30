package io.lavenderroad.tool;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/**
 * Options common to all commands.
 */
final class CommonOptions {

	static final String CONTROL_VARIABLE = "LAVENDERROAD_CONTROL";

	@Parameter(names = "--control",
			description = "HOST:PORT,... of the control members; default from LAVENDERROAD_CONTROL")
	List<String> control = new ArrayList<>();

	@Parameter(names = "--output", description = "table or json")
	String output = "table";

	@Parameter(names = "--time-limit", description = "seconds after which the command gives up")
	int timeLimitSeconds = 20;

	boolean json() {
		return this.output.equals("json");
	}

	void validate() {
		if (!this.output.equals("json") && !this.output.equals("table")) {
			throw new ToolException(ExitCode.USAGE, "--output: found '" + this.output + "'; allowed: table or json");
		}
		if (this.timeLimitSeconds < 1 || this.timeLimitSeconds > 86_400) {
			throw new ToolException(ExitCode.USAGE,
					"--time-limit: found " + this.timeLimitSeconds + "; allowed: 1 to 86400 seconds");
		}
	}

}
