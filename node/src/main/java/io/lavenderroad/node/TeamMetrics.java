package io.lavenderroad.node;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import com.codahale.metrics.MetricRegistry;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.metrics.MetricsText;

/**
 * Counts the answers by team and the refusals by reason. The busiest teams have lines of
 * their own, all others share one. No value contains an access key.
 */
final class TeamMetrics {

	/**
	 * Number of teams with lines of their own.
	 */
	static final int SHOWN_TEAMS = 20;

	/**
	 * Maximum number of teams that are counted separately, about 300 bytes each.
	 */
	static final int MAXIMUM_TEAMS = 4_096;

	private static final String OTHER = "other";

	private static final int OUTCOMES = ExecutionVerdict.values().length + 1;

	/**
	 * Index of the refusals by quota; the indexes below are those of the verdicts.
	 */
	private static final int QUOTA = OUTCOMES - 1;

	private final Map<String, LongAdder[]> teams = new ConcurrentHashMap<>();

	private final LongAdder[] refusals = counters(Refusal.values().length);

	/**
	 * Counts an answer.
	 * @param team name of the team
	 * @param verdict verdict of the answer
	 */
	void recordAnswer(String team, ExecutionVerdict verdict) {
		counters(team)[verdict.ordinal()].increment();
	}

	/**
	 * Counts a refusal by quota.
	 * @param team name of the team
	 */
	void recordOverQuota(String team) {
		counters(team)[QUOTA].increment();
		recordRefusal(Refusal.QUOTA);
	}

	/**
	 * Counts a refusal.
	 * @param refusal its reason
	 */
	void recordRefusal(Refusal refusal) {
		this.refusals[refusal.ordinal()].increment();
	}

	/**
	 * Returns the metrics. A team that becomes one of the busiest takes its count along,
	 * so the count of the others can fall.
	 * @return the metrics in the Prometheus text format
	 */
	String text() {
		MetricRegistry registry = new MetricRegistry();
		for (Refusal refusal : Refusal.values()) {
			long count = this.refusals[refusal.ordinal()].sum();
			if (count > 0) {
				registry.counter("lavenderroad_refused_total{reason=\"" + refusal.label() + "\"}").inc(count);
			}
		}
		List<TeamCount> counts = this.teams.entrySet()
			.stream()
			.map((entry) -> new TeamCount(entry.getKey(), entry.getValue()))
			.sorted(Comparator.comparing((TeamCount count) -> count.name().equals(OTHER))
				.thenComparing(Comparator.comparingLong(TeamCount::total).reversed()))
			.toList();
		for (int index = 0; index < counts.size(); index++) {
			add(registry, counts.get(index), index < SHOWN_TEAMS);
		}
		return MetricsText.of(registry);
	}

	private static void add(MetricRegistry registry, TeamCount count, boolean shown) {
		String team = shown ? NodeMetrics.escaped(count.name()) : OTHER;
		for (int outcome = 0; outcome < OUTCOMES; outcome++) {
			String label = (outcome == QUOTA) ? Refusal.QUOTA.label() : ExecutionVerdict.values()[outcome].label();
			registry.counter("lavenderroad_team_answers_total{team=\"" + team + "\",outcome=\"" + label + "\"}")
				.inc(count.counters()[outcome].sum());
		}
	}

	private LongAdder[] counters(String team) {
		LongAdder[] counters = this.teams.get(team);
		if (counters == null) {
			String name = (this.teams.size() < MAXIMUM_TEAMS) ? team : OTHER;
			counters = this.teams.computeIfAbsent(name, (missing) -> counters(OUTCOMES));
		}
		return counters;
	}

	private static LongAdder[] counters(int length) {
		LongAdder[] counters = new LongAdder[length];
		Arrays.setAll(counters, (index) -> new LongAdder());
		return counters;
	}

	/**
	 * Reasons of refusals.
	 */
	enum Refusal {

		/**
		 * No team holds the key that the caller sent.
		 */
		UNKNOWN_KEY,

		/**
		 * The caller sent no key, and the route is not open to anonymous callers.
		 */
		MISSING_KEY,

		/**
		 * The team is over its quota, or its quota is not known.
		 */
		QUOTA,

		/**
		 * No backend server had free capacity.
		 */
		CAPACITY;

		private String label() {
			return name().toLowerCase(Locale.ROOT).replace('_', '-');
		}

	}

	private record TeamCount(String name, LongAdder[] counters) {

		private long total() {
			long sum = 0;
			for (LongAdder counter : this.counters) {
				sum += counter.sum();
			}
			return sum;
		}

	}

}
