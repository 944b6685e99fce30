package io.lavenderroad.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import io.lavenderroad.tool.ControlClient.Reply;

/**
 * Turns answers of the API into results or exceptions.
 */
final class Answers {

	static final int OK = 200;

	static final int BAD_REQUEST = 400;

	static final int NOT_FOUND = 404;

	private Answers() {
	}

	/**
	 * Returns the body of a successful answer.
	 * @param reply the answer
	 * @return the body
	 * @throws ToolException if the request was refused
	 */
	static JsonValue require(Reply reply) {
		return require(reply, UnaryOperator.identity());
	}

	/**
	 * Returns the body of a successful answer.
	 * @param reply the answer
	 * @param sourceNames turns names of documents into names of files
	 * @return the body
	 * @throws ToolException if the request was refused
	 */
	static JsonValue require(Reply reply, UnaryOperator<String> sourceNames) {
		if (reply.status() == OK) {
			return reply.json();
		}
		if (reply.status() == BAD_REQUEST) {
			throw new ToolException(ExitCode.INVALID_INPUT, problems(reply.json(), sourceNames), reply.text());
		}
		throw new ToolException(ExitCode.REFUSED, "not run: " + reply.json().text("reason"), reply.text());
	}

	static String problems(JsonValue body, UnaryOperator<String> sourceNames) {
		List<String> lines = new ArrayList<>();
		for (JsonValue problem : body.objects("problems")) {
			StringBuilder line = new StringBuilder(sourceNames.apply(problem.text("source")));
			if (problem.number("line") > 0) {
				line.append(':').append(problem.number("line")).append(':').append(problem.number("column"));
			}
			if (!problem.text("key").isEmpty()) {
				line.append(": ").append(problem.text("key"));
			}
			lines.add(line + ": found " + problem.text("found") + "; allowed: " + problem.text("allowed"));
		}
		return lines.isEmpty() ? body.text("reason") : String.join("\n", lines);
	}

}
