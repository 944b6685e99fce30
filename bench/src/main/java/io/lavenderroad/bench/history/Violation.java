package io.lavenderroad.bench.history;

import java.util.List;

/**
 * Violation of a rule by a history.
 *
 * @param rule name of the rule
 * @param explanation how the rule was violated, in one sentence
 * @param events minimal set of events that shows the violation
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
