package io.lavenderroad.control.quota;

import java.util.Comparator;
import java.util.List;

import io.lavenderroad.policy.quota.TeamUse;

/**
 * Metrics of the quotas of teams. Only the busiest teams have lines of their own; the
 * others share one.
 */
public final class QuotaMetrics {

	private static final int MAXIMUM_TEAMS = 20;

	private static final String PREFIX = "lavenderroad_control_quota_";

	private QuotaMetrics() {
	}

	/**
	 * Formats the use of the quotas.
	 * @param uses use of each team
	 * @return lines of the Prometheus text format
	 */
	public static String text(List<TeamUse> uses) {
		List<TeamUse> sorted = uses.stream()
			.sorted(Comparator.comparingInt(QuotaMetrics::activity).reversed())
			.toList();
		StringBuilder text = new StringBuilder();
		sorted.stream()
			.limit(MAXIMUM_TEAMS)
			.forEach((use) -> append(text, escaped(use.team()), use.granted(), use.refused()));
		List<TeamUse> others = sorted.stream().skip(MAXIMUM_TEAMS).toList();
		if (!others.isEmpty()) {
			append(text, "", others.stream().mapToInt(TeamUse::granted).sum(),
					others.stream().mapToInt(TeamUse::refused).sum());
		}
		return text.toString();
	}

	private static int activity(TeamUse use) {
		return use.granted() + use.refused();
	}

	private static void append(StringBuilder text, String team, int granted, int refused) {
		text.append(PREFIX)
			.append("granted_in_window{team=\"")
			.append(team)
			.append("\"} ")
			.append(granted)
			.append('\n');
		text.append(PREFIX)
			.append("refused_in_window{team=\"")
			.append(team)
			.append("\"} ")
			.append(refused)
			.append('\n');
	}

	private static String escaped(String label) {
		return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
	}

}
