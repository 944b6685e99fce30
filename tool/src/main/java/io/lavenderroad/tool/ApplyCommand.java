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
 * Applies documents as one change and reports its outcome.
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
		Documents documents = readDocuments(this.paths, this.removed);
		ControlClient client = context.client(this.options);
		String id = this.changeId.isEmpty() ? context.ids().get() : this.changeId;
		long base = this.baseVersion;
		if (base == NO_VERSION && !this.changeId.isEmpty()) {
			// With a newer base version, the retry would overwrite changes that other
			// operators made after the first attempt.
			throw new ToolException(ExitCode.USAGE, "--change-id needs the --base-version of the first attempt");
		}
		if (base == NO_VERSION) {
			JsonValue dryRun = ApiResponses.requireSuccess(dryRun(client, documents), documents::displayName);
			base = dryRun.number("baseVersion");
			if (!this.options.json()) {
				DiffCommand.print(dryRun, context.out());
			}
		}
		Result result = client.send("POST", "/v1/changes",
				Optional.of(body(id, base, context.operator(this.operator), documents)));
		return report(context, client, documents, new ChangeIdentity(id, base), result);
	}

	private Reply dryRun(ControlClient client, Documents documents) {
		try {
			return client.query("/v1/diff", DiffCommand.body(documents, this.removed));
		}
		catch (ToolException ex) {
			// Only the dry run failed; the change was not sent.
			throw new ToolException(ExitCode.REFUSED, "not run: " + ex.getMessage());
		}
	}

	static Documents readDocuments(List<String> paths, List<String> removed) {
		if (paths.isEmpty() && removed.isEmpty()) {
			throw new ToolException(ExitCode.USAGE, "name at least one file or directory, or --remove NAME");
		}
		return paths.isEmpty() ? new Documents(new TreeMap<>(), new TreeMap<>()) : Documents.read(paths);
	}

	private ExitCode report(ToolContext context, ControlClient client, Documents documents, ChangeIdentity change,
			Result result) {
		Optional<Reply> answer = result.answer();
		// After a lost answer, only an outcome of the state machine is final. Any other
		// refusal applies to the last attempt only.
		boolean hasOutcome = answer.isPresent() && !answer.get().json().text("changeId").isEmpty();
		if (!hasOutcome && result.answerLost()) {
			throw new ToolException(ExitCode.UNKNOWN, change.unknownOutcomeMessage(result.lastFailure()));
		}
		if (answer.isEmpty()) {
			throw new ToolException(ExitCode.REFUSED,
					"not run: no control member accepted the change; " + result.lastFailure());
		}
		JsonValue outcome = ApiResponses.requireSuccess(answer.get(), documents::displayName);
		if (this.options.json()) {
			context.out().println(answer.get().text());
		}
		else {
			context.out().println("accepted: change " + change.id() + " is version " + outcome.number("version"));
		}
		return this.watch ? new ConvergenceMonitor(context, client, this.options).watch(outcome.number("version"))
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
			throw new UncheckedIOException("cannot encode the request body as JSON", ex);
		}
	}

	/**
	 * Id and base version, which together identify a retried change.
	 *
	 * @param id id of the change
	 * @param baseVersion version that the change was made for
	 */
	private record ChangeIdentity(String id, long baseVersion) {

		String unknownOutcomeMessage(String failure) {
			return "unknown: the answer was lost (" + failure + "), so change " + this.id + " may have run\n"
					+ "to find out, run: lavenderroad verdict " + this.id + "\n"
					+ "to send it again without running it twice, add: --change-id " + this.id + " --base-version "
					+ this.baseVersion;
		}

	}

}
