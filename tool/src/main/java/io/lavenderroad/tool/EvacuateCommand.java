package io.lavenderroad.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.lavenderroad.tool.ControlClient.Reply;
import io.lavenderroad.tool.ControlClient.Result;

/**
 * Begins, finishes or lists evacuations of failure domains.
 */
@Parameters(commandDescription = "evacuate a failure domain: begin DOMAIN, finish DOMAIN or list")
final class EvacuateCommand extends ToolCommand {

	private static final String PATH = "/v1/evacuations";

	@Parameter(description = "begin DOMAIN | finish DOMAIN | list")
	private List<String> arguments = new ArrayList<>();

	@Override
	ExitCode run(ToolContext context) {
		ControlClient client = context.client(this.options);
		String action = this.arguments.isEmpty() ? "" : this.arguments.getFirst();
		return switch (action + "/" + this.arguments.size()) {
			case "list/1" -> list(context, client);
			case "begin/2" -> order(context, client, "PUT");
			case "finish/2" -> order(context, client, "DELETE");
			default -> throw new ToolException(ExitCode.USAGE, "evacuate: found '" + String.join(" ", this.arguments)
					+ "'; allowed: begin DOMAIN, finish DOMAIN or list");
		};
	}

	private ExitCode list(ToolContext context, ControlClient client) {
		Reply reply = client.get(PATH);
		JsonValue body = ApiResponses.requireSuccess(reply);
		if (this.options.json()) {
			context.out().println(reply.text());
			return ExitCode.SUCCESS;
		}
		Table table = new Table("FAILURE DOMAIN", "ENDPOINTS THAT ACCEPT WORK");
		body.objects("evacuations")
			.forEach((domain) -> table.row(domain.text("failureDomain"), domain.number("acceptingEndpoints")));
		table.print(context.out());
		return ExitCode.SUCCESS;
	}

	// Orders are idempotent, so they are sent again after a lost answer.
	private ExitCode order(ToolContext context, ControlClient client, String method) {
		String domain = VerdictCommand.requireValidId(this.arguments.get(1));
		Result result = client.send(method, PATH + "/" + domain, Optional.empty());
		if (result.answer().isEmpty()) {
			throw new ToolException(result.answerLost() ? ExitCode.UNKNOWN : ExitCode.REFUSED,
					result.answerLost()
							? "unknown: the answer was lost (" + result.lastFailure()
									+ ")\nto find out, run: lavenderroad evacuate list"
							: "not run: " + result.lastFailure());
		}
		JsonValue body = ApiResponses.requireSuccess(result.reply());
		context.out()
			.println(this.options.json() ? result.reply().text()
					: domain + (body.isTrue("evacuated") ? " is evacuated" : " is not evacuated") + " as of version "
							+ body.number("version"));
		return ExitCode.SUCCESS;
	}

}
