package io.lavenderroad.policy.moves;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.ObservationKey;
import io.lavenderroad.model.Observations;
import io.lavenderroad.model.ServiceConfiguration;

/**
 * Observations that one leader has collected for a move. Immutable; windows are added one
 * by one. The evidence is not durable: a new leader starts without evidence.
 */
public final class MoveEvidence {

	/**
	 * Maximum probability that one leader withdraws a good version during one move.
	 */
	public static final double FALSE_ALARM_RATE = 0.001;

	/**
	 * Maximum share of the new version at which the old version still carries a
	 * representative load, in 1/10,000.
	 */
	static final int MAXIMUM_BASELINE_SHARE = 5_000;

	/**
	 * Slot utilization above which latencies and refusals are dominated by queueing.
	 */
	private static final double OVERLOAD_UTILIZATION = 0.95;

	private final MoveState move;

	private final boolean startedAfterShift;

	private final long firstShareMillis;

	private final long lastSufficientMillis;

	private final long fromMillis;

	private final long toMillis;

	private final Evidence sinceStart;

	private final Evidence sinceStep;

	private final SequentialComparison comparison;

	private final Map<String, VersionPair> pending;

	private final RecentLoad recent;

	private MoveEvidence(MoveState move, boolean startedAfterShift, long firstShareMillis, long lastSufficientMillis,
			long fromMillis, long toMillis, Evidence sinceStart, Evidence sinceStep, SequentialComparison comparison,
			Map<String, VersionPair> pending, RecentLoad recent) {
		this.move = move;
		this.startedAfterShift = startedAfterShift;
		this.firstShareMillis = firstShareMillis;
		this.lastSufficientMillis = lastSufficientMillis;
		this.fromMillis = fromMillis;
		this.toMillis = toMillis;
		this.sinceStart = sinceStart;
		this.sinceStep = sinceStep;
		this.comparison = comparison;
		this.pending = pending;
		this.recent = recent;
	}

	/**
	 * Creates evidence without observations, at the start of a move or after a leader
	 * change.
	 * @param move state of the move
	 * @param routes names of the routes of the service
	 * @param nowMillis current time, milliseconds since the epoch
	 * @return evidence without observations
	 */
	public static MoveEvidence start(MoveState move, List<String> routes, long nowMillis) {
		double horizonSeconds = Math.max(60_000, move.parameters().deadlineMillis() - nowMillis) / 1_000.0;
		// The time of the first share is not durable: a leader that starts later uses the
		// start of the move instead.
		long firstShareMillis = (move.step() <= 1) ? move.stepMillis() : move.startedMillis();
		return new MoveEvidence(move, move.shareBasisPoints() > MAXIMUM_BASELINE_SHARE, firstShareMillis, nowMillis,
				nowMillis, nowMillis, Evidence.NONE, Evidence.NONE,
				SequentialComparison.start(FALSE_ALARM_RATE, routes, horizonSeconds), Map.of(), RecentLoad.NONE);
	}

	/**
	 * Adopts the durable state of the move. After a new step, the evidence since the last
	 * step is empty.
	 * @param state durable state of the move
	 * @return this evidence with that state
	 */
	public MoveEvidence withState(MoveState state) {
		boolean sameStep = state.step() == this.move.step();
		long firstShare = (state.step() <= 1) ? state.stepMillis() : this.firstShareMillis;
		return new MoveEvidence(state, this.startedAfterShift, firstShare, this.lastSufficientMillis, this.fromMillis,
				this.toMillis, this.sinceStart, sameStep ? this.sinceStep : Evidence.NONE, this.comparison,
				sameStep ? this.pending : Map.of(), this.recent);
	}

	/**
	 * Adds the observations since the last window.
	 * @param increment new observations of any service and version
	 * @param nowMillis current time, milliseconds since the epoch
	 * @param oldServers backend servers of the old version
	 * @param newServers backend servers of the new version
	 * @return the evidence including this window
	 */
	public MoveEvidence plus(Evidence increment, long nowMillis, VersionServers oldServers, VersionServers newServers) {
		Evidence moveEvidence = ofMove(increment);
		double seconds = Math.max(0, nowMillis - this.toMillis) / 1_000.0;
		WindowConditions conditions = new WindowConditions(seconds, isCold(nowMillis, newServers),
				isOverloaded(oldServers, newServers));
		Map<String, VersionPair> window = new HashMap<>(this.pending);
		pairs(moveEvidence).forEach((route, pair) -> window.merge(route, pair, VersionPair::plus));
		Map<String, VersionPair> complete = new HashMap<>();
		Map<String, VersionPair> incomplete = new HashMap<>();
		// For a leader that starts when the new version already has more than
		// MAXIMUM_BASELINE_SHARE, the small share left on the old version is the only
		// baseline.
		boolean baseline = this.startedAfterShift || this.move.shareBasisPoints() <= MAXIMUM_BASELINE_SHARE;
		window.forEach((route, pair) -> ((pair.isComparable() || this.move.step() == 0) ? complete : incomplete)
			.put(route, pair));
		SequentialComparison next = this.comparison.plus(complete, conditions, baseline);
		long lastSufficient = hasSufficientCapacity(oldServers, newServers) ? nowMillis : this.lastSufficientMillis;
		return new MoveEvidence(this.move, this.startedAfterShift, this.firstShareMillis, lastSufficient,
				this.fromMillis, nowMillis, this.sinceStart.plus(moveEvidence), this.sinceStep.plus(moveEvidence), next,
				incomplete, recent(moveEvidence, seconds));
	}

	/**
	 * Returns the observations since the start of the move or of this leader.
	 * @return evidence of both versions
	 */
	public Evidence sinceStart() {
		return this.sinceStart;
	}

	/**
	 * Returns the observations since the last step or the start of this leader.
	 * @return evidence of both versions
	 */
	public Evidence sinceStep() {
		return this.sinceStep;
	}

	/**
	 * Returns the time from which observations have been collected.
	 * @return milliseconds since the epoch
	 */
	public long fromMillis() {
		return this.fromMillis;
	}

	/**
	 * Returns the sequential comparison of both versions.
	 * @return the comparison
	 */
	public SequentialComparison comparison() {
		return this.comparison;
	}

	/**
	 * Returns the call rate of the service for both versions together.
	 * @return calls and refusals per second, 0 without observations
	 */
	public double callsPerSecond() {
		return this.recent.callsPerSecond();
	}

	/**
	 * Returns for how long the ready servers of the new version have not had enough slots
	 * for its share, although the old version could serve all calls.
	 * @return milliseconds, 0 if the capacity is sufficient
	 */
	public long insufficientCapacityMillis() {
		return this.toMillis - this.lastSufficientMillis;
	}

	/**
	 * Returns the averages over the last minute.
	 * @return the averages
	 */
	RecentLoad recent() {
		return this.recent;
	}

	/**
	 * Sums the observations of one version over all routes.
	 * @param evidence the evidence
	 * @param version the version
	 * @return the sum
	 */
	public static Observations total(Evidence evidence, String version) {
		Observations sum = Observations.NONE;
		for (Map.Entry<ObservationKey, Observations> entry : evidence.observations().entrySet()) {
			sum = entry.getKey().version().equals(version) ? sum.plus(entry.getValue()) : sum;
		}
		return sum;
	}

	/**
	 * Groups the observations of a move by route.
	 * @param evidence evidence of the service of the move
	 * @return observations of both versions by route
	 */
	Map<String, VersionPair> pairs(Evidence evidence) {
		Map<String, VersionPair> pairs = new TreeMap<>();
		evidence.observations().forEach((key, value) -> {
			boolean isNew = key.version().equals(this.move.parameters().to());
			VersionPair pair = isNew ? new VersionPair(Observations.NONE, value)
					: new VersionPair(value, Observations.NONE);
			pairs.merge(key.route(), pair, VersionPair::plus);
		});
		return pairs;
	}

	private boolean isCold(long nowMillis, VersionServers newServers) {
		boolean firstCalls = this.move.step() == 0
				|| nowMillis - this.firstShareMillis < RampPlan.coldStartMillis(this.move);
		return firstCalls || newServers.youngColdServers() > 0;
	}

	private boolean hasSufficientCapacity(VersionServers oldServers, VersionServers newServers) {
		boolean fits = newDemandSlots() <= newServers.readySlots() * OVERLOAD_UTILIZATION;
		boolean noAlternative = this.recent.demandSlots() > oldServers.readySlots() * OVERLOAD_UTILIZATION;
		return fits || noAlternative || newServers.coldServers() > 0;
	}

	private double newDemandSlots() {
		return this.recent.demandSlots() * this.move.shareBasisPoints() / ServiceConfiguration.FULL_SHARE_BASIS_POINTS;
	}

	private boolean isOverloaded(VersionServers oldServers, VersionServers newServers) {
		double demand = this.recent.demandSlots();
		return newDemandSlots() > newServers.readySlots() * OVERLOAD_UTILIZATION
				|| demand > (oldServers.readySlots() + newServers.readySlots()) * OVERLOAD_UTILIZATION;
	}

	private Evidence ofMove(Evidence increment) {
		Map<ObservationKey, Observations> selected = new TreeMap<>();
		increment.observations().forEach((key, value) -> {
			boolean isOfMove = key.version().equals(this.move.parameters().to())
					|| key.version().equals(this.move.parameters().from());
			if (isOfMove && key.service().equals(this.move.service())) {
				selected.put(key, value);
			}
		});
		return Evidence.of(selected);
	}

	private RecentLoad recent(Evidence moveEvidence, double seconds) {
		long calls = moveEvidence.observations()
			.values()
			.stream()
			.mapToLong((observed) -> observed.calls() + observed.refusals())
			.sum();
		return this.recent.plus(calls, total(moveEvidence, this.move.parameters().from()), seconds);
	}

}
