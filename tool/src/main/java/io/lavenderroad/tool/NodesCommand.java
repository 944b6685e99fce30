package io.lavenderroad.tool;

import com.beust.jcommander.Parameters;
import io.lavenderroad.tool.ControlClient.Reply;

/**
 * Shows active versions, lagging nodes and rejected versions.
 */
@Parameters(commandDescription = "show active versions, lagging nodes and rejected versions")
final class NodesCommand extends ToolCommand {

	@Override
	ExitCode run(ToolContext context) {
		ControlClient client = context.client(this.options);
		client.preferLeader();
		Reply reply = client.get("/v1/nodes");
		JsonValue body = ApiResponses.requireSuccess(reply);
		if (this.options.json()) {
			context.out().println(reply.text());
			return ExitCode.SUCCESS;
		}
		context.out()
			.println("version " + body.number("version") + " is active on " + body.number("nodesCurrent") + " of "
					+ body.number("nodes") + " nodes");
		JsonValue byVersion = body.object("nodesByVersion");
		Table versions = new Table("ACTIVE VERSION", "NODES");
		byVersion.keys().forEach((active) -> versions.row(active, byVersion.number(active)));
		versions.print(context.out());
		if (!body.objects("lagging").isEmpty()) {
			Table lagging = new Table("LAGGING NODE", "ACTIVE VERSION", "SILENT FOR");
			body.objects("lagging")
				.forEach((node) -> lagging.row(node.text("node"), node.number("activeVersion"),
						node.number("silentMillis") + " ms"));
			lagging.print(context.out());
		}
		if (!body.objects("rejected").isEmpty()) {
			Table rejected = new Table("NODE", "REJECTED VERSION", "REASON");
			body.objects("rejected")
				.forEach((node) -> rejected.row(node.text("node"), node.number("version"), node.text("reason")));
			rejected.print(context.out());
		}
		return ExitCode.SUCCESS;
	}

}
