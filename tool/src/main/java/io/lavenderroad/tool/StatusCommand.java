package io.lavenderroad.tool;

import com.beust.jcommander.Parameters;
import io.lavenderroad.tool.ControlClient.Reply;

/**
 * Shows the state of the mesh.
 */
@Parameters(commandDescription = "show version, leader, nodes and active moves")
final class StatusCommand extends ToolCommand {

	@Override
	ExitCode run(ToolContext context) {
		ControlClient client = context.client(this.options);
		client.preferLeader();
		Reply reply = client.get("/v1/status");
		JsonValue status = ApiResponses.requireSuccess(reply);
		if (this.options.json()) {
			context.out().println(reply.text());
			return ExitCode.SUCCESS;
		}
		String leader = status.text("leader");
		new Table("VERSION", "LAST CHANGE", "SERVICES", "NODES CURRENT", "LAGGING", "REJECTED", "LEADER", "TERM")
			.row(status.number("version"), status.number("lastChangeVersion"), status.number("services"),
					status.number("nodesCurrent") + " of " + status.number("nodes"), status.number("laggingNodes"),
					status.number("rejectedVersions"), leader.isEmpty() ? "unknown" : leader, status.number("term"))
			.print(context.out());
		if (!status.objects("activeMoves").isEmpty()) {
			context.out().println();
			MoveFormatter.table(status.objects("activeMoves")).print(context.out());
			status.objects("activeMoves")
				.forEach((move) -> move.texts("warnings")
					.forEach((warning) -> context.out().println("warning: " + move.text("id") + ": " + warning)));
		}
		return ExitCode.SUCCESS;
	}

}
