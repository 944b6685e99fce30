package io.lavenderroad.tool;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.jr.ob.JSON;
import io.lavenderroad.tool.ControlClient.Reply;
import io.lavenderroad.tool.ControlClient.Result;

/**
 * Lists moves or withdraws one.
 */
@Parameters(commandDescription = "list moves, or take one back: move withdraw MOVE")
final class MoveCommand extends ToolCommand {

	private static final int CONFLICT = 409;

	@Parameter(description = "[withdraw MOVE]")
	private List<String> arguments = new ArrayList<>();

	@Parameter(names = "--all", description = "list final moves too")
	private boolean all;

	@Parameter(names = "--reason", description = "why the move is taken back")
	private String reason = "";

	@Parameter(names = "--operator", description = "name of the operator; default from LAVENDERROAD_OPERATOR or USER")
	private String operator = "";

	@Override
	ExitCode run(ToolContext context) {
		ControlClient client = context.client(this.options);
		if (this.arguments.isEmpty()) {
			return list(context, client);
		}
		if (this.arguments.size() != 2 || !this.arguments.getFirst().equals("withdraw")) {
			throw new ToolException(ExitCode.USAGE,
					"move: found '" + String.join(" ", this.arguments) + "'; allowed: nothing or withdraw MOVE");
		}
		return withdraw(context, client, VerdictCommand.requireValidId(this.arguments.get(1)));
	}

	private ExitCode list(ToolContext context, ControlClient client) {
		Reply reply = client.get("/v1/moves");
		JsonValue body = ApiResponses.requireSuccess(reply);
		if (this.options.json()) {
			context.out().println(reply.text());
			return ExitCode.SUCCESS;
		}
		MoveFormatter
			.table(body.objects("moves").stream().filter((move) -> this.all || !MoveFormatter.isFinal(move)).toList())
			.print(context.out());
		return ExitCode.SUCCESS;
	}

	private ExitCode withdraw(ToolContext context, ControlClient client, String id) {
		Result result = client.send("POST", "/v1/moves/" + id + "/withdraw", Optional.of(body(context)));
		if (result.answer().isEmpty()) {
			throw new ToolException(result.answerLost() ? ExitCode.UNKNOWN : ExitCode.REFUSED,
					result.answerLost()
							? "unknown: the answer was lost (" + result.lastFailure()
									+ ")\nto find out, run: lavenderroad verdict " + id
							: "not run: " + result.lastFailure());
		}
		if (result.answerLost() && result.reply().status() == CONFLICT) {
			// The attempt whose answer was lost may have withdrawn the move.
			return VerdictCommand.show(context, client, this.options, id);
		}
		JsonValue move = ApiResponses.requireSuccess(result.reply());
		context.out().println(this.options.json() ? result.reply().text() : MoveFormatter.describe(move));
		return ExitCode.SUCCESS;
	}

	private String body(ToolContext context) {
		try {
			return JSON.std.composeString()
				.startObject()
				.put("operator", context.operator(this.operator))
				.put("reason", this.reason)
				.end()
				.finish();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot encode the request body as JSON", ex);
		}
	}

}
