package io.lavenderroad.policy.moves;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.Observations;

/**
 * Takes the new version of a short move back on plain counts.
 * {@link SequentialComparison} spreads its verdict over several seconds, so that the loss
 * of one server is not taken for a bad version; a move of less than a minute leaves no
 * time for that, and taking a good version back costs less than serving a bad one.
 */
final class EarlyWithdrawal {

	/**
	 * Moves up to this length are judged so.
	 */
	static final long SHORT_MOVE_MILLIS = 60_000;

	/**
	 * Bad answers of the new version that are needed.
	 */
	private static final int LEAST_EVENTS = 8;

	/**
	 * Share of errors that is bad if the old version has none.
	 */
	private static final double LEAST_ERROR_SHARE = 0.1;

	/**
	 * How many times the error share of the old version is tolerated on top.
	 */
	private static final double ERROR_RATIO = 3;

	/**
	 * Share of very slow answers that is bad.
	 */
	private static final double LEAST_SLOW_SHARE = 0.2;

	/**
	 * Answers above this quantile of the old version, doubled, count as very slow.
	 */
	private static final double SLOW_QUANTILE = 0.95;

	/**
	 * Answers of the old version on a route that make its quantile usable.
	 */
	private static final int LEAST_BASELINE = 40;

	private EarlyWithdrawal() {
	}

	/**
	 * Looks for a reason to take the new version back.
	 * @param situation the situation
	 * @return a short sentence, empty if there is none
	 */
	static Optional<String> reason(MoveSituation situation) {
		MoveState move = situation.move();
		if (move.parameters().deadlineMillis() - move.startedMillis() > SHORT_MOVE_MILLIS) {
			return Optional.empty();
		}
		Map<String, VersionPair> all = situation.evidence().pairs(situation.sinceStart());
		for (Evidence evidence : List.of(situation.sinceStep(), situation.sinceStart())) {
			Map<String, VersionPair> routes = situation.evidence().pairs(evidence);
			Optional<String> found = errors(routes).or(() -> slow(routes, all));
			if (found.isPresent()) {
				return found;
			}
		}
		return Optional.empty();
	}

	private static Optional<String> errors(Map<String, VersionPair> routes) {
		VersionPair sum = routes.values().stream().reduce(VersionPair.NONE, VersionPair::plus);
		Optional<String> pooled = errors("all routes", sum);
		if (pooled.isPresent()) {
			return pooled;
		}
		return routes.entrySet()
			.stream()
			.map((entry) -> errors("route " + entry.getKey(), entry.getValue()))
			.flatMap(Optional::stream)
			.findFirst();
	}

	private static Optional<String> errors(String scope, VersionPair pair) {
		Observations newer = pair.newVersion();
		double oldShare = share(pair.oldVersion().errors(), pair.oldVersion().calls());
		boolean bad = newer.errors() >= LEAST_EVENTS
				&& share(newer.errors(), newer.calls()) >= LEAST_ERROR_SHARE + ERROR_RATIO * oldShare;
		return bad
				? Optional.of("the new version fails on " + scope + ": " + newer.errors() + " of " + newer.calls()
						+ " calls, old " + pair.oldVersion().errors() + " of " + pair.oldVersion().calls())
				: Optional.empty();
	}

	private static Optional<String> slow(Map<String, VersionPair> routes, Map<String, VersionPair> all) {
		long slow = 0;
		long answers = 0;
		for (Map.Entry<String, VersionPair> entry : routes.entrySet()) {
			LatencyHistogram before = all.getOrDefault(entry.getKey(), VersionPair.NONE).oldVersion().latencies();
			LatencyHistogram after = entry.getValue().newVersion().latencies();
			if (before.total() >= LEAST_BASELINE) {
				slow += countAbove(after, 2 * before.quantileMillis(SLOW_QUANTILE));
				answers += after.total();
			}
		}
		boolean bad = slow >= LEAST_EVENTS && share(slow, answers) >= LEAST_SLOW_SHARE;
		return bad ? Optional.of("the new version is slow: " + slow + " of " + answers + " answers") : Optional.empty();
	}

	private static long countAbove(LatencyHistogram latencies, double millis) {
		long[] counts = latencies.counts();
		long sum = 0;
		for (int bucket = LatencyHistogram.bucketOf(millis) + 1; bucket < counts.length; bucket++) {
			sum += counts[bucket];
		}
		return sum;
	}

	private static double share(long events, long trials) {
		return (trials > 0) ? (double) events / trials : 0;
	}

}
