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
 * Lists, adds, removes or replaces control members.
 */
@Parameters(commandDescription = "list control members, or: add ID ADDRESS, remove ID, replace OLD NEW ADDRESS")
final class MembersCommand extends ToolCommand {

	private static final String PATH = "/v1/members";

	@Parameter(description = "[add ID ADDRESS | remove ID | replace OLD NEW ADDRESS]")
	private List<String> arguments = new ArrayList<>();

	@Override
	ExitCode run(ToolContext context) {
		ControlClient client = context.client(this.options);
		String action = this.arguments.isEmpty() ? "" : this.arguments.getFirst();
		Reply reply = switch (action + "/" + this.arguments.size()) {
			case "/0" -> list(client);
			case "add/3" -> add(client, this.arguments.get(1), this.arguments.get(2));
			case "remove/2" -> remove(client, this.arguments.get(1));
			case "replace/4" ->
				replace(context, client, this.arguments.get(1), this.arguments.get(2), this.arguments.get(3));
			default -> throw new ToolException(ExitCode.USAGE, "members: found '" + String.join(" ", this.arguments)
					+ "'; allowed: add ID ADDRESS, remove ID or replace OLD NEW ADDRESS");
		};
		print(context, reply);
		return ExitCode.SUCCESS;
	}

	private Reply list(ControlClient client) {
		client.preferLeader();
		Reply reply = client.get(PATH);
		ApiResponses.requireSuccess(reply);
		return reply;
	}

	private Reply add(ControlClient client, String id, String address) {
		return require(client.sendOnce("POST", PATH, Optional.of(body(VerdictCommand.requireValidId(id), address))));
	}

	private Reply remove(ControlClient client, String id) {
		return require(client.sendOnce("DELETE", PATH + "/" + VerdictCommand.requireValidId(id), Optional.empty()));
	}

	// Adds the new member before it removes the old one, so that the number of voters
	// never drops below the initial one. Completed steps are skipped, so that the
	// command can be repeated after a lost answer.
	private Reply replace(ToolContext context, ControlClient client, String old, String replacement, String address) {
		Reply reply = list(client);
		if (!isVoter(reply, replacement)) {
			reply = add(client, replacement, address);
			context.error().println("added " + replacement);
		}
		if (isMember(reply, old)) {
			reply = remove(client, old);
			context.error().println("removed " + old);
		}
		return reply;
	}

	private static boolean isVoter(Reply reply, String id) {
		return reply.json()
			.objects("members")
			.stream()
			.anyMatch((member) -> member.text("id").equals(id) && member.isTrue("voter"));
	}

	private static boolean isMember(Reply reply, String id) {
		return reply.json().objects("members").stream().anyMatch((member) -> member.text("id").equals(id));
	}

	private static Reply require(Result result) {
		if (result.answer().isPresent()) {
			ApiResponses.requireSuccess(result.reply());
			return result.reply();
		}
		if (result.answerLost()) {
			throw new ToolException(ExitCode.UNKNOWN, "unknown: the answer was lost (" + result.lastFailure()
					+ ")\nto find out, run: lavenderroad members");
		}
		throw new ToolException(ExitCode.REFUSED, "not run: " + result.lastFailure());
	}

	private void print(ToolContext context, Reply reply) {
		if (this.options.json()) {
			context.out().println(reply.text());
			return;
		}
		Table table = new Table("MEMBER", "ADDRESS", "ROLE", "REPLICATED");
		for (JsonValue member : reply.json().objects("members")) {
			String role = member.isTrue("leader") ? "leader" : (member.isTrue("voter") ? "voter" : "learner");
			long index = member.number("replicatedIndex");
			table.row(member.text("id"), member.text("address"), role, (index < 0) ? "unknown" : index);
		}
		table.print(context.out());
	}

	private static String body(String id, String address) {
		try {
			return JSON.std.composeString().startObject().put("id", id).put("address", address).end().finish();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot encode the request body as JSON", ex);
		}
	}

}
