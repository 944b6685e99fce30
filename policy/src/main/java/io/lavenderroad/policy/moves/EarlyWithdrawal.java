package io.lavenderroad.policy.moves;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.LatencyHistogram;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.Observations;

/**
 * Decides from plain counts, without a statistical test, whether the new version of a
 * short move is withdrawn. {@link SequentialComparison} takes several seconds to decide,
 * so that the loss of one server is not mistaken for a bad version. A move of less than a
 * minute leaves no time for that, and withdrawing a good version costs less than serving
 * a bad one.
 */
final class EarlyWithdrawal {

	/**
	 * Maximum length of a move to which this check applies.
	 */
	static final long MAXIMUM_SHORT_MOVE_MILLIS = 60_000;

	/**
	 * Minimum number of failed or slow answers of the new version.
	 */
	private static final int MINIMUM_EVENTS = 8;

	/**
	 * Error share from which the new version is bad if the old one has no errors.
	 */
	private static final double MINIMUM_ERROR_SHARE = 0.1;

	/**
	 * Multiple of the error share of the old version that is tolerated in addition.
	 */
	private static final double ERROR_RATIO = 3;

	/**
	 * Share of very slow answers from which the new version is bad.
	 */
	private static final double MINIMUM_SLOW_SHARE = 0.2;

	/**
	 * Quantile of the old version; answers that take more than twice as long count as
	 * very slow.
	 */
	private static final double SLOW_QUANTILE = 0.95;

	/**
	 * Minimum number of answers of the old version on a route for its quantile to be
	 * used.
	 */
	private static final int MINIMUM_BASELINE_ANSWERS = 40;

	private EarlyWithdrawal() {
	}

	/**
	 * Returns the reason for withdrawing the new version, if there is one.
	 * @param situation the situation of the move
	 * @return a short sentence, empty if the new version is not withdrawn
	 */
	static Optional<String> reason(MoveSituation situation) {
		MoveState move = situation.move();
		if (move.parameters().deadlineMillis() - move.startedMillis() > MAXIMUM_SHORT_MOVE_MILLIS) {
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
		boolean bad = newer.errors() >= MINIMUM_EVENTS
				&& share(newer.errors(), newer.calls()) >= MINIMUM_ERROR_SHARE + ERROR_RATIO * oldShare;
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
			if (before.total() >= MINIMUM_BASELINE_ANSWERS) {
				slow += countAbove(after, 2 * before.quantileMillis(SLOW_QUANTILE));
				answers += after.total();
			}
		}
		boolean bad = slow >= MINIMUM_EVENTS && share(slow, answers) >= MINIMUM_SLOW_SHARE;
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
