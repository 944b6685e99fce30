package io.lavenderroad.policy.moves;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Observations;

/**
 * Comparison of both versions of one service by a single node over its own calls. A node
 * that finds the new version bad sets its own share of it to zero at once, which is the
 * safe direction; the control members decide for the mesh. Immutable.
 *
 * <p>
 * The probability of a false alarm is at most {@link #FALSE_ALARM_RATE} for a node and
 * move, so that with 7,800 nodes together it is at most 0.1% for a move.
 */
public final class LocalComparison {

	/**
	 * Nodes at design capacity.
	 */
	public static final int NODES = 7_800;

	/**
	 * Largest probability of a false alarm for one node and move.
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
	 * Starts a comparison when the node first sees a move.
	 * @param service name of the service
	 * @param move parameters of the move
	 * @param routes names of the routes of the service
	 * @param nowMillis the time, milliseconds since the epoch
	 * @return a comparison without evidence
	 */
	public static LocalComparison start(String service, MoveParameters move, List<String> routes, long nowMillis) {
		double horizonSeconds = Math.max(60_000, move.deadlineMillis() - nowMillis) / 1_000.0;
		SequentialComparison comparison = SequentialComparison.start(FALSE_ALARM_RATE, routes, horizonSeconds);
		return new LocalComparison(service, move, comparison, 0, Map.of());
	}

	/**
	 * Adds a window of the node's own calls, during which its share was constant. Calls
	 * of a route wait until both versions have some at the same share, since most windows
	 * of a node with few calls have none of one version.
	 * @param window observations of any service and version
	 * @param conditions length of the window; {@code cold} while any server of the new
	 * version that the node uses is cold, {@code overloaded} while the node sees refusals
	 * of both versions
	 * @param newShareBasisPoints share of the new version in 1/10,000
	 * @return the comparison with this window
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
		boolean recordBaseline = newShareBasisPoints <= MoveEvidence.BASELINE_LIMIT;
		return new LocalComparison(this.service, this.move, this.comparison.plus(complete, conditions, recordBaseline),
				newShareBasisPoints, pairs);
	}

	/**
	 * Tells whether the node should stop sending calls to the new version at once. It
	 * stays true for the rest of the move.
	 * @return true if the new version is bad
	 */
	public boolean shouldStop() {
		return this.comparison.isBad();
	}

	/**
	 * Returns why, for the log.
	 * @return a short sentence
	 */
	public String reason() {
		String route = this.comparison.strongestRoute();
		return "version " + this.move.to() + " of " + this.service + " has more "
				+ this.comparison.strongestSignal().label() + (route.isEmpty() ? "" : " on route " + route);
	}

}
