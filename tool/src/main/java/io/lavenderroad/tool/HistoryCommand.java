package io.lavenderroad.tool;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.lavenderroad.tool.ControlClient.Reply;

/**
 * Shows the latest changes and move events, newest first.
 */
@Parameters(commandDescription = "show the latest changes and move events, newest first")
final class HistoryCommand extends ToolCommand {

	@Parameter(names = "--limit", description = "largest number of events")
	private int limit = 20;

	@Override
	ExitCode run(ToolContext context) {
		Reply reply = context.client(this.options).get("/v1/history?limit=" + this.limit);
		JsonValue body = ApiResponses.requireSuccess(reply);
		if (this.options.json()) {
			context.out().println(reply.text());
			return ExitCode.SUCCESS;
		}
		Table table = new Table("VERSION", "TIME", "KIND", "ID", "OPERATOR", "EFFECT");
		for (JsonValue entry : body.objects("history")) {
			String operator = entry.text("operator").isEmpty() ? "(system)" : entry.text("operator");
			table.row(entry.number("version"), ToolContext.time(entry.number("atMillis")), entry.text("kind"),
					entry.text("id"), operator, String.join("; ", entry.texts("lines")));
		}
		table.print(context.out());
		return ExitCode.SUCCESS;
	}

}
