package io.lavenderroad.tool;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;

/**
 * Command of the tool.
 */
abstract class ToolCommand {

	@ParametersDelegate
	final CommonOptions options = new CommonOptions();

	@Parameter(names = "--help", help = true, description = "show the options of this command")
	boolean help;

	/**
	 * Runs the command.
	 * @param context streams, environment and transport of the command
	 * @return the exit code
	 * @throws ToolException if the command fails
	 */
	abstract ExitCode run(ToolContext context);

}
