package io.lavenderroad.tool;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.jr.ob.JSON;
import io.lavenderroad.tool.ControlClient.Reply;
import io.lavenderroad.tool.ControlClient.Result;

/**
 * Applies documents.
 */
@Parameters(commandDescription = "apply documents as one change")
final class ApplyCommand extends ToolCommand {

	private static final long NO_VERSION = -1;

	@Parameter(description = "DIR|FILE...")
	private List<String> paths = new ArrayList<>();

	@Parameter(names = "--remove", description = "name of a document to remove, such as parameters/sales")
	private List<String> removed = new ArrayList<>();

	@Parameter(names = "--base-version",
			description = "version that the change was made for; default: the version in force")
	private long baseVersion = NO_VERSION;

	@Parameter(names = "--change-id", description = "id of a change that is sent again")
	private String changeId = "";

	@Parameter(names = "--operator", description = "name of the operator; default from LAVENDERROAD_OPERATOR or USER")
	private String operator = "";

	@Parameter(names = "--watch", description = "wait until the change is active on every node")
	private boolean watch;

	@Override
	ExitCode run(ToolContext context) {
		Documents documents = documents(this.paths, this.removed);
		ControlClient client = context.client(this.options);
		String id = this.changeId.isEmpty() ? context.ids().get() : this.changeId;
		long base = this.baseVersion;
		if (base == NO_VERSION && !this.changeId.isEmpty()) {
			// With a newer base version, a resend would overwrite changes that others
			// made
			// after the first attempt.
			throw new ToolException(ExitCode.USAGE, "--change-id needs the --base-version of the first attempt");
		}
		if (base == NO_VERSION) {
			JsonValue dryRun = Answers.require(dryRun(client, documents), documents::shown);
			base = dryRun.number("baseVersion");
			if (!this.options.json()) {
				DiffCommand.print(dryRun, context.out());
			}
		}
		Result result = client.send("POST", "/v1/changes",
				Optional.of(body(id, base, context.operator(this.operator), documents)));
		return report(context, client, documents, new Identity(id, base), result);
	}

	private Reply dryRun(ControlClient client, Documents documents) {
		try {
			return client.query("/v1/diff", DiffCommand.body(documents, this.removed));
		}
		catch (ToolException ex) {
			// The change itself was not sent yet.
			throw new ToolException(ExitCode.REFUSED, "not run: " + ex.getMessage());
		}
	}

	static Documents documents(List<String> paths, List<String> removed) {
		if (paths.isEmpty() && removed.isEmpty()) {
			throw new ToolException(ExitCode.USAGE, "name at least one file or directory, or --remove NAME");
		}
		return paths.isEmpty() ? new Documents(new TreeMap<>(), new TreeMap<>()) : Documents.read(paths);
	}

	private ExitCode report(ToolContext context, ControlClient client, Documents documents, Identity change,
			Result result) {
		Optional<Reply> answer = result.answer();
		// Only an outcome of the state machine is final after a lost answer; any other
		// refusal is about the last attempt alone.
		boolean decided = answer.isPresent() && !answer.get().json().text("changeId").isEmpty();
		if (!decided && result.answerLost()) {
			throw new ToolException(ExitCode.UNKNOWN, change.unknown(result.lastFailure()));
		}
		if (answer.isEmpty()) {
			throw new ToolException(ExitCode.REFUSED,
					"not run: no control member accepted the change; " + result.lastFailure());
		}
		JsonValue outcome = Answers.require(answer.get(), documents::shown);
		if (this.options.json()) {
			context.out().println(answer.get().text());
		}
		else {
			context.out().println("accepted: change " + change.id() + " is version " + outcome.number("version"));
		}
		return this.watch ? new Convergence(context, client, this.options).watch(outcome.number("version"))
				: ExitCode.SUCCESS;
	}

	private String body(String id, long base, String name, Documents documents) {
		try {
			return JSON.std.composeString()
				.startObject()
				.put("changeId", id)
				.put("baseVersion", base)
				.put("operator", name)
				.putObject("put", documents.texts())
				.putObject("removed", this.removed)
				.end()
				.finish();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("writing JSON into memory failed", ex);
		}
	}

	/**
	 * What makes a change recognisable when it is sent again.
	 *
	 * @param id id of the change
	 * @param baseVersion version that the change was made for
	 */
	private record Identity(String id, long baseVersion) {

		String unknown(String failure) {
			return "unknown: the answer was lost (" + failure + "), so change " + this.id + " may have run\n"
					+ "to find out, run: lavenderroad verdict " + this.id + "\n"
					+ "to send it again without running it twice, add: --change-id " + this.id + " --base-version "
					+ this.baseVersion;
		}

	}

}
