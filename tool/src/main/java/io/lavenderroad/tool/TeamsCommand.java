package io.lavenderroad.tool;

import com.beust.jcommander.Parameters;
import io.lavenderroad.tool.ControlClient.Reply;

/**
 * Shows limits and use of the quotas of teams.
 */
@Parameters(commandDescription = "show limits and use of the quotas of teams")
final class TeamsCommand extends ToolCommand {

	@Override
	ExitCode run(ToolContext context) {
		ControlClient client = context.client(this.options);
		client.preferLeader();
		Reply reply = client.get("/v1/teams");
		JsonValue body = ApiResponses.requireSuccess(reply);
		if (this.options.json()) {
			context.out().println(reply.text());
			return ExitCode.SUCCESS;
		}
		context.out().println("use in the last " + body.number("windowMillis") + " ms");
		Table table = new Table("TEAM", "REQUESTS PER SECOND", "BURST", "GRANTED", "REFUSED", "REFUSED IN TOTAL");
		body.objects("teams")
			.forEach((team) -> table.row(team.text("team"), team.text("requestsPerSecond"), team.text("burst"),
					team.number("grantedInWindow"), team.number("refusedInWindow"), team.number("refusedTotal")));
		table.print(context.out());
		return ExitCode.SUCCESS;
	}

}
