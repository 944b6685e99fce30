package io.lavenderroad.bench.history;

import java.util.List;

/**
 * A rule that a history breaks.
 *
 * @param rule name of the rule
 * @param explanation one sentence
 * @param events the fewest events that show the violation
 */
public record Violation(String rule, String explanation, List<HistoryEvent> events) {

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder(this.rule).append(": ").append(this.explanation);
		for (HistoryEvent event : this.events) {
			text.append("\n    ").append(event);
		}
		return text.toString();
	}

}
