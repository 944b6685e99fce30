package io.lavenderroad.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import io.lavenderroad.tool.ControlClient.Reply;

/**
 * Maps responses of the operators' API to results or exceptions.
 */
final class ApiResponses {

	static final int OK = 200;

	static final int BAD_REQUEST = 400;

	static final int NOT_FOUND = 404;

	private ApiResponses() {
	}

	/**
	 * Returns the body of a successful response.
	 * @param reply the response
	 * @return the body
	 * @throws ToolException if the request failed: with {@code INVALID_INPUT} for status
	 * 400, else with {@code REFUSED}
	 */
	static JsonValue requireSuccess(Reply reply) {
		return requireSuccess(reply, UnaryOperator.identity());
	}

	/**
	 * Returns the body of a successful response.
	 * @param reply the response
	 * @param sourceNames maps document names to file names for problem messages
	 * @return the body
	 * @throws ToolException if the request failed: with {@code INVALID_INPUT} for status
	 * 400, else with {@code REFUSED}
	 */
	static JsonValue requireSuccess(Reply reply, UnaryOperator<String> sourceNames) {
		if (reply.status() == OK) {
			return reply.json();
		}
		if (reply.status() == BAD_REQUEST) {
			throw new ToolException(ExitCode.INVALID_INPUT, formatProblems(reply.json(), sourceNames), reply.text());
		}
		throw new ToolException(ExitCode.REFUSED, "not run: " + reply.json().text("reason"), reply.text());
	}

	static String formatProblems(JsonValue body, UnaryOperator<String> sourceNames) {
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
