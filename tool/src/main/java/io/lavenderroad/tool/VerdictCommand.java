package io.lavenderroad.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.lavenderroad.tool.ControlClient.Reply;

/**
 * Shows the outcome of a move or a change.
 */
@Parameters(commandDescription = "tell plainly how a move or a change ended: verdict MOVE|SERVICE|CHANGE")
final class VerdictCommand extends ToolCommand {

	private static final Pattern ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,199}");

	private static final Pattern SERVICE = Pattern.compile("[a-z0-9-]{1,63}");

	private static final long POLL_MILLIS = 500;

	@Parameter(description = "MOVE|SERVICE|CHANGE")
	private List<String> id = new ArrayList<>();

	@Parameter(names = "--wait", description = "wait for the verdict of a move up to the time limit")
	private boolean wait;

	@Override
	ExitCode run(ToolContext context) {
		if (this.id.size() != 1) {
			throw new ToolException(ExitCode.USAGE, "verdict takes one move, service or change");
		}
		ControlClient client = context.client(this.options);
		String validId = requireValidId(this.id.getFirst());
		if (this.wait) {
			awaitVerdict(context, client, validId);
		}
		return show(context, client, this.options, validId);
	}

	static String requireValidId(String id) {
		if (!ID.matcher(id).matches()) {
			throw new ToolException(ExitCode.USAGE,
					"found '" + id + "'; allowed: an id of letters, digits, dots, underscores and hyphens");
		}
		return id;
	}

	static ExitCode show(ToolContext context, ControlClient client, CommonOptions options, String id) {
		Reply move = findMove(client, id);
		if (move.status() == ApiResponses.OK) {
			context.out().println(options.json() ? move.text() : MoveFormatter.describe(move.json()));
			return ExitCode.SUCCESS;
		}
		Reply change = client.get("/v1/changes/" + id);
		if (change.status() == ApiResponses.NOT_FOUND) {
			throw new ToolException(ExitCode.FAILURE, "no move, no service with a move and no change " + id
					+ " is known; if it is a change, it has not run so far");
		}
		JsonValue outcome = ApiResponses.requireSuccess(change);
		if (options.json()) {
			context.out().println(change.text());
		}
		else if (outcome.isTrue("accepted")) {
			context.out().println("accepted: change " + id + " is version " + outcome.number("version"));
		}
		else {
			context.out().println("not run: change " + id + ": " + outcome.text("reason"));
		}
		return ExitCode.SUCCESS;
	}

	private void awaitVerdict(ToolContext context, ControlClient client, String validId) {
		long endMillis = context.clock().millis() + this.options.timeLimitSeconds * 1_000L;
		while (context.clock().millis() < endMillis) {
			Reply move = findMove(client, validId);
			if (move.status() != ApiResponses.OK || MoveFormatter.isFinal(move.json())) {
				return;
			}
			context.sleeper().sleep(POLL_MILLIS);
		}
	}

	private static Reply findMove(ControlClient client, String id) {
		Reply move = client.get("/v1/moves/" + id);
		if (move.status() != ApiResponses.NOT_FOUND) {
			ApiResponses.requireSuccess(move);
			return move;
		}
		if (!SERVICE.matcher(id).matches()) {
			return move;
		}
		List<JsonValue> serviceMoves = ApiResponses.requireSuccess(client.get("/v1/moves?service=" + id))
			.objects("moves");
		return serviceMoves.isEmpty() ? move : client.get("/v1/moves/" + latestMove(serviceMoves).text("id"));
	}

	private static JsonValue latestMove(List<JsonValue> moves) {
		JsonValue latest = moves.getFirst();
		for (JsonValue move : moves) {
			latest = (move.number("startedMillis") >= latest.number("startedMillis")) ? move : latest;
		}
		return latest;
	}

}
