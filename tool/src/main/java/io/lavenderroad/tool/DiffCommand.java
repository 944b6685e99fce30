package io.lavenderroad.tool;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.jr.ob.JSON;
import io.lavenderroad.tool.ControlClient.Reply;

/**
 * Shows the effect of a change by a dry run.
 */
@Parameters(commandDescription = "show what applying documents would change, without applying them")
final class DiffCommand extends ToolCommand {

	@Parameter(description = "DIR|FILE...")
	private List<String> paths = new ArrayList<>();

	@Parameter(names = "--remove", description = "name of a document to remove, such as parameters/sales")
	private List<String> removed = new ArrayList<>();

	@Override
	ExitCode run(ToolContext context) {
		Documents documents = ApplyCommand.readDocuments(this.paths, this.removed);
		Reply reply = context.client(this.options).query("/v1/diff", body(documents, this.removed));
		JsonValue dryRun = ApiResponses.requireSuccess(reply, documents::displayName);
		if (this.options.json()) {
			context.out().println(reply.text());
		}
		else {
			print(dryRun, context.out());
		}
		return ExitCode.SUCCESS;
	}

	static String body(Documents documents, List<String> removed) {
		try {
			return JSON.std.composeString()
				.startObject()
				.putObject("put", documents.texts())
				.putObject("removed", removed)
				.end()
				.finish();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot encode the request body as JSON", ex);
		}
	}

	static void print(JsonValue dryRun, PrintStream out) {
		out.println("against version " + dryRun.number("baseVersion") + ":");
		if (dryRun.texts("lines").isEmpty()) {
			out.println("  no effect on nodes");
		}
		dryRun.texts("lines").forEach((line) -> out.println("  " + line));
		dryRun.texts("notes").forEach((note) -> out.println("  note: " + note));
	}

}
