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
 * What one leader has observed of a move. Immutable; windows are added one by one. It is
 * not durable: a new leader starts without evidence.
 */
public final class MoveEvidence {

	/**
	 * Largest probability that one leader takes back a good version during one move.
	 */
	public static final double FALSE_ALARM_RATE = 0.001;

	/**
	 * Share of the new version up to which the old one carries a usual load.
	 */
	static final int BASELINE_LIMIT = 5_000;

	/**
	 * Part of the slots in use from which on queues decide latencies and refusals.
	 */
	private static final double OVERLOAD_USE = 0.95;

	private final MoveState move;

	private final boolean startedAfterShift;

	private final long firstShareMillis;

	private final long carriedMillis;

	private final long fromMillis;

	private final long toMillis;

	private final Evidence sinceStart;

	private final Evidence sinceStep;

	private final SequentialComparison comparison;

	private final Map<String, VersionPair> pending;

	private final RecentLoad recent;

	private MoveEvidence(MoveState move, boolean startedAfterShift, long firstShareMillis, long carriedMillis,
			long fromMillis, long toMillis, Evidence sinceStart, Evidence sinceStep, SequentialComparison comparison,
			Map<String, VersionPair> pending, RecentLoad recent) {
		this.move = move;
		this.startedAfterShift = startedAfterShift;
		this.firstShareMillis = firstShareMillis;
		this.carriedMillis = carriedMillis;
		this.fromMillis = fromMillis;
		this.toMillis = toMillis;
		this.sinceStart = sinceStart;
		this.sinceStep = sinceStep;
		this.comparison = comparison;
		this.pending = pending;
		this.recent = recent;
	}

	/**
	 * Starts without evidence, at the start of a move or of a leader.
	 * @param move state of the move
	 * @param routes names of the routes of the service
	 * @param nowMillis the time, milliseconds since the epoch
	 * @return evidence without observations
	 */
	public static MoveEvidence start(MoveState move, List<String> routes, long nowMillis) {
		double horizonSeconds = Math.max(60_000, move.parameters().deadlineMillis() - nowMillis) / 1_000.0;
		// A leader that starts later does not know the time of the first share any more.
		long firstShareMillis = (move.step() <= 1) ? move.stepMillis() : move.startedMillis();
		return new MoveEvidence(move, move.shareBasisPoints() > BASELINE_LIMIT, firstShareMillis, nowMillis, nowMillis,
				nowMillis, Evidence.NONE, Evidence.NONE,
				SequentialComparison.start(FALSE_ALARM_RATE, routes, horizonSeconds), Map.of(), RecentLoad.NONE);
	}

	/**
	 * Adopts the durable state. A new step starts with no evidence of its own.
	 * @param state state of the move
	 * @return this evidence for that state
	 */
	public MoveEvidence at(MoveState state) {
		boolean sameStep = state.step() == this.move.step();
		long firstShare = (state.step() <= 1) ? state.stepMillis() : this.firstShareMillis;
		return new MoveEvidence(state, this.startedAfterShift, firstShare, this.carriedMillis, this.fromMillis,
				this.toMillis, this.sinceStart, sameStep ? this.sinceStep : Evidence.NONE, this.comparison,
				sameStep ? this.pending : Map.of(), this.recent);
	}

	/**
	 * Adds the observations made since the last window.
	 * @param increment new observations of any service and version
	 * @param nowMillis the time, milliseconds since the epoch
	 * @param oldServers backend servers of the old version
	 * @param newServers backend servers of the new version
	 * @return the evidence with this window
	 */
	public MoveEvidence plus(Evidence increment, long nowMillis, VersionServers oldServers, VersionServers newServers) {
		Evidence own = own(increment);
		double seconds = Math.max(0, nowMillis - this.toMillis) / 1_000.0;
		WindowConditions conditions = new WindowConditions(seconds, isCold(nowMillis, newServers),
				isOverloaded(oldServers, newServers));
		Map<String, VersionPair> window = new HashMap<>(this.pending);
		pairs(own).forEach((route, pair) -> window.merge(route, pair, VersionPair::plus));
		Map<String, VersionPair> complete = new HashMap<>();
		Map<String, VersionPair> incomplete = new HashMap<>();
		// A leader that starts after the shift has no better baseline than the small
		// share
		// left on the old version.
		boolean baseline = this.startedAfterShift || this.move.shareBasisPoints() <= BASELINE_LIMIT;
		window.forEach((route, pair) -> ((pair.isComparable() || this.move.step() == 0) ? complete : incomplete)
			.put(route, pair));
		SequentialComparison next = this.comparison.plus(complete, conditions, baseline);
		long carried = isCarried(oldServers, newServers) ? nowMillis : this.carriedMillis;
		return new MoveEvidence(this.move, this.startedAfterShift, this.firstShareMillis, carried, this.fromMillis,
				nowMillis, this.sinceStart.plus(own), this.sinceStep.plus(own), next, incomplete, recent(own, seconds));
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
	 * Returns since when there is evidence.
	 * @return milliseconds since the epoch
	 */
	public long fromMillis() {
		return this.fromMillis;
	}

	/**
	 * Returns the comparison of both versions.
	 * @return the comparison
	 */
	public SequentialComparison comparison() {
		return this.comparison;
	}

	/**
	 * Returns the call rate of the service over both versions.
	 * @return calls and refusals per second, 0 while nothing was observed
	 */
	public double callsPerSecond() {
		return this.recent.callsPerSecond();
	}

	/**
	 * Returns for how long the ready servers of the new version have not carried its
	 * share, although the old version could carry all calls.
	 * @return milliseconds, 0 if they carry it
	 */
	public long notCarriedMillis() {
		return this.toMillis - this.carriedMillis;
	}

	/**
	 * Returns averages over the last minute.
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
	 * Sorts the observations of a move by route.
	 * @param evidence evidence of the service of the move
	 * @return both versions by route
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

	private boolean isCarried(VersionServers oldServers, VersionServers newServers) {
		boolean fits = newDemandSlots() <= newServers.readySlots() * OVERLOAD_USE;
		boolean noAlternative = this.recent.demandSlots() > oldServers.readySlots() * OVERLOAD_USE;
		return fits || noAlternative || newServers.coldServers() > 0;
	}

	private double newDemandSlots() {
		return this.recent.demandSlots() * this.move.shareBasisPoints() / ServiceConfiguration.WHOLE_SHARE;
	}

	private boolean isOverloaded(VersionServers oldServers, VersionServers newServers) {
		double demand = this.recent.demandSlots();
		return newDemandSlots() > newServers.readySlots() * OVERLOAD_USE
				|| demand > (oldServers.readySlots() + newServers.readySlots()) * OVERLOAD_USE;
	}

	private Evidence own(Evidence increment) {
		Map<ObservationKey, Observations> own = new TreeMap<>();
		increment.observations().forEach((key, value) -> {
			boolean ofMove = key.version().equals(this.move.parameters().to())
					|| key.version().equals(this.move.parameters().from());
			if (ofMove && key.service().equals(this.move.service())) {
				own.put(key, value);
			}
		});
		return Evidence.of(own);
	}

	private RecentLoad recent(Evidence own, double seconds) {
		long calls = own.observations().values().stream().mapToLong((seen) -> seen.calls() + seen.refusals()).sum();
		return this.recent.plus(calls, total(own, this.move.parameters().from()), seconds);
	}

}
