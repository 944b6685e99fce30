package io.lavenderroad.tool;

import java.util.List;

import io.lavenderroad.model.rendering.ParameterType;

/**
 * Formats moves as text for the operator.
 */
final class MoveFormatter {

	private MoveFormatter() {
	}

	static Table table(List<JsonValue> moves) {
		Table table = new Table("MOVE", "SERVICE", "FROM", "TO", "STATUS", "SHARE", "DEADLINE", "WARNINGS");
		for (JsonValue move : moves) {
			table.row(move.text("id"), move.text("service"), move.text("from"), move.text("to"), move.text("status"),
					share(move), ToolContext.time(move.number("deadlineMillis")), move.texts("warnings").size());
		}
		return table;
	}

	static boolean isFinal(JsonValue move) {
		return move.text("status").equals("done") || move.text("status").equals("taken-back");
	}

	/**
	 * Describes the verdict of a move, or its progress while there is none.
	 * @param move the move
	 * @return lines of text
	 */
	static String describe(JsonValue move) {
		StringBuilder text = new StringBuilder();
		String subject = "service " + move.text("service") + ", move " + move.text("id") + " from " + move.text("from")
				+ " to " + move.text("to");
		switch (move.text("status")) {
			case "done" -> text.append("done at ")
				.append(ToolContext.time(move.number("finishedMillis")))
				.append(": ")
				.append(subject)
				.append("\nall traffic is on ")
				.append(move.text("to"))
				.append(deadlineNote(move))
				.append("\nreason: ")
				.append(move.text("reason"));
			case "taken-back" -> text.append("taken back at ")
				.append(ToolContext.time(move.number("finishedMillis")))
				.append(": ")
				.append(subject)
				.append("\nall traffic is on ")
				.append(move.text("from"))
				.append("\nreason: ")
				.append(move.text("reason"));
			default -> text.append("no verdict yet: ")
				.append(subject)
				.append("\n")
				.append(move.text("to"))
				.append(" has ")
				.append(share(move))
				.append(" of the traffic since ")
				.append(ToolContext.time(move.number("stepMillis")))
				.append("; deadline ")
				.append(ToolContext.time(move.number("deadlineMillis")));
		}
		if (!move.text("route").isEmpty()) {
			text.append("\nroute: ").append(move.text("route"));
		}
		if (!move.text("figures").isEmpty()) {
			text.append("\nfigures: ").append(move.text("figures"));
		}
		move.texts("warnings").forEach((warning) -> text.append("\nwarning: ").append(warning));
		return text.toString();
	}

	private static String deadlineNote(JsonValue move) {
		String deadline = ToolContext.time(move.number("deadlineMillis"));
		return (move.number("finishedMillis") <= move.number("deadlineMillis"))
				? ", in time for the deadline " + deadline : ", after the deadline " + deadline;
	}

	private static String share(JsonValue move) {
		return ParameterType.percent((int) move.number("shareBasisPoints"));
	}

}
