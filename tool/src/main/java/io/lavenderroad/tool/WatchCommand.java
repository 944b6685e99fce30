package io.lavenderroad.tool;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Shows the progress of a version until it is active on all nodes.
 */
@Parameters(commandDescription = "show live how nodes reach a version, until all have it or the time limit passes")
final class WatchCommand extends ToolCommand {

	@Parameter(description = "[VERSION]")
	private List<Long> version = new ArrayList<>();

	@Override
	ExitCode run(ToolContext context) {
		if (this.version.size() > 1) {
			throw new ToolException(ExitCode.USAGE, "watch takes one version");
		}
		ControlClient client = context.client(this.options);
		client.preferLeader();
		return new ConvergenceMonitor(context, client, this.options)
			.watch(this.version.isEmpty() ? 0 : this.version.getFirst());
	}

}
