package io.lavenderroad.policy.moves;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Observations;

/**
 * Comparison of both versions of a service by a single node, based on its own calls only.
 * A node that detects a bad new version immediately sets its own share of it to zero,
 * which is the safe direction; the control members decide for the whole mesh. Immutable.
 *
 * <p>
 * The probability of a false alarm is at most {@link #FALSE_ALARM_RATE} for each node and
 * move, and therefore at most 0.1% for a move with 7,800 nodes.
 */
public final class LocalComparison {

	/**
	 * Number of nodes at design capacity.
	 */
	public static final int NODES = 7_800;

	/**
	 * Maximum probability of a false alarm for one node and move.
	 */
	public static final double FALSE_ALARM_RATE = 0.001 / NODES;

	private final String service;

	private final MoveParameters move;

	private final SequentialComparison comparison;

	private final int share;

	private final Map<String, VersionPair> pending;

	private LocalComparison(String service, MoveParameters move, SequentialComparison comparison, int share,
			Map<String, VersionPair> pending) {
		this.service = service;
		this.move = move;
		this.comparison = comparison;
		this.share = share;
		this.pending = pending;
	}

	/**
	 * Starts a comparison when the node is first informed of a move.
	 * @param service name of the service
	 * @param move parameters of the move
	 * @param routes names of the routes of the service
	 * @param nowMillis current time, milliseconds since the epoch
	 * @return a comparison without evidence
	 */
	public static LocalComparison start(String service, MoveParameters move, List<String> routes, long nowMillis) {
		double horizonSeconds = Math.max(60_000, move.deadlineMillis() - nowMillis) / 1_000.0;
		SequentialComparison comparison = SequentialComparison.start(FALSE_ALARM_RATE, routes, horizonSeconds);
		return new LocalComparison(service, move, comparison, 0, Map.of());
	}

	/**
	 * Adds a window of the calls of the node, during which its share was constant. The
	 * observations of a route are kept pending until there are some of both versions at
	 * the same share, since most windows of a node with few calls have observations of
	 * one version only.
	 * @param window observations of any service and version
	 * @param conditions length of the window; {@code cold} while any server of the new
	 * version that the node uses is cold, {@code overloaded} while the node observes
	 * refusals of both versions
	 * @param newShareBasisPoints share of the new version in 1/10,000
	 * @return the comparison including this window
	 */
	public LocalComparison plus(Map<ObservationKey, Observations> window, WindowConditions conditions,
			int newShareBasisPoints) {
		boolean sameShare = newShareBasisPoints == this.share;
		Map<String, VersionPair> pairs = new HashMap<>(sameShare ? this.pending : Map.of());
		window.forEach((key, value) -> {
			if (key.service().equals(this.service) && key.version().equals(this.move.from())) {
				pairs.merge(key.route(), new VersionPair(value, Observations.NONE), VersionPair::plus);
			}
			if (key.service().equals(this.service) && key.version().equals(this.move.to())) {
				pairs.merge(key.route(), new VersionPair(Observations.NONE, value), VersionPair::plus);
			}
		});
		Map<String, VersionPair> complete = new HashMap<>(pairs);
		complete.values().removeIf((pair) -> newShareBasisPoints > 0 && !pair.isComparable());
		pairs.keySet().removeAll(complete.keySet());
		boolean recordBaseline = newShareBasisPoints <= MoveEvidence.MAXIMUM_BASELINE_SHARE;
		return new LocalComparison(this.service, this.move, this.comparison.plus(complete, conditions, recordBaseline),
				newShareBasisPoints, pairs);
	}

	/**
	 * Returns whether the node should immediately stop sending calls to the new version.
	 * Once true, it stays true for the rest of the move.
	 * @return true if the new version is bad
	 */
	public boolean shouldStop() {
		return this.comparison.isBad();
	}

	/**
	 * Returns the reason for stopping, for the log.
	 * @return a short sentence
	 */
	public String reason() {
		String route = this.comparison.strongestRoute();
		return "version " + this.move.to() + " of " + this.service + " has more "
				+ this.comparison.strongestSignal().label() + (route.isEmpty() ? "" : " on route " + route);
	}

}
