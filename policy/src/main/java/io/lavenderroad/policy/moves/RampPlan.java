package io.lavenderroad.policy.moves;

import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.Observations;
import io.lavenderroad.model.ServiceConfiguration;

/**
 * Plan of a ramp, computed backwards from the deadline: the watch phase and the margin
 * are subtracted first, and the remaining time is divided among the stages in proportion
 * to the time that their evidence takes.
 */
final class RampPlan {

	/**
	 * Shares of the stages in 1/10,000. The first one stays below 1%, the maximum share
	 * of calls that may reach a version that is bad from the start. The last one leaves
	 * enough calls on the old version for the comparison and for keeping its servers
	 * warm.
	 */
	private static final int[] SHARES = { 50, 200, 500, 1_000, 2_500, 5_000, 9_500 };

	/**
	 * Error share of the new version above the tolerated one (see {@link Signal}) which a
	 * stage must rule out before the next stage starts.
	 */
	private static final double[] DIFFERENCES = { 0.2, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05 };

	/**
	 * First share of a service with so few calls that the default first share would take
	 * too long.
	 */
	private static final int LOW_TRAFFIC_FIRST_SHARE = 90;

	/**
	 * Maximum part of the ramp for the first stage at its default share.
	 */
	private static final double MAXIMUM_FIRST_STAGE_PART = 0.3;

	/**
	 * Maximum part of the ready slots of the new version that the ramp uses.
	 */
	private static final double MAXIMUM_SLOT_UTILIZATION = 0.85;

	/**
	 * Minimum factor by which a step must raise the share.
	 */
	private static final double MINIMUM_GROWTH = 1.2;

	/**
	 * Error share of the new version on one route above the tolerated one which a stage
	 * must rule out for each route with enough calls.
	 */
	private static final double ROUTE_DIFFERENCE = 0.5;

	private static final long MAXIMUM_PLANNED_WATCH_MILLIS = 1_800_000;

	/**
	 * Maximum length of the watch phase if the deadline is far away:
	 * {@link #MAXIMUM_PLANNED_WATCH_MILLIS} plus {@link #MAXIMUM_RESERVE_MILLIS}.
	 */
	static final long MAXIMUM_WATCH_MILLIS = 3_600_000;

	private static final long MAXIMUM_RESERVE_MILLIS = 1_800_000;

	/**
	 * Minimum time in which the comparison can detect a fault that began with the step:
	 * the natural logarithm of the evidence must grow by about 17, and a second adds at
	 * most 2.
	 */
	private static final long MINIMUM_EVIDENCE_MILLIS = 9_000;

	/**
	 * Time after the first calls of the new version during which slow calls are
	 * tolerated, since a ready server may still fill its caches during its first calls.
	 */
	private static final long COLD_START_MILLIS = 60_000;

	/**
	 * Part of the time to the deadline that is reserved for failures during the ramp,
	 * when evidence is of little value. Without failures it lengthens the watch phase.
	 */
	private static final double RESERVE_PART = 0.2;

	/**
	 * Time that is assumed for collecting evidence without any calls.
	 */
	private static final double UNKNOWN_DURATION_MILLIS = 1e15;

	/**
	 * Error share of the old version above which a dependency of both versions is assumed
	 * to fail. Such a failure is likely to end, so half of the remaining time is spent
	 * waiting for that.
	 */
	private static final double COMMON_FAILURE_SHARE = 0.05;

	private static final double COMMON_FAILURE_WAIT_PART = 0.5;

	private final MoveSituation situation;

	private final long totalMillis;

	private final RequiredEvidence required;

	private final double oldErrorShare;

	RampPlan(MoveSituation situation) {
		MoveState move = situation.move();
		this.situation = situation;
		this.totalMillis = Math.max(1, move.parameters().deadlineMillis() - move.startedMillis());
		this.required = new RequiredEvidence(MoveEvidence.FALSE_ALARM_RATE, this.totalMillis / 1_000.0);
		this.oldErrorShare = situation.evidence().recent().oldErrorShare();
	}

	/**
	 * Returns how long after the first share slow calls are tolerated, which is also the
	 * minimum duration of the first stage. In a move of less than four minutes, larger
	 * shares follow so soon that a longer cold start would affect many callers and
	 * therefore counts as slow.
	 * @param move the move
	 * @return milliseconds
	 */
	static long coldStartMillis(MoveState move) {
		long total = move.parameters().deadlineMillis() - move.startedMillis();
		return Math.clamp(total / 4, 0, COLD_START_MILLIS);
	}

	/**
	 * Returns how long before the deadline the last step is taken, so that it is active
	 * on all nodes in time.
	 * @return milliseconds
	 */
	long marginMillis() {
		return Math.clamp(this.totalMillis / 20, 1, 5_000);
	}

	/**
	 * Returns the planned length of the watch phase. If the ramp ends early, the phase
	 * continues until the deadline.
	 * @return milliseconds
	 */
	long watchMillis() {
		return Math.clamp(this.totalMillis / 5, 1, MAXIMUM_PLANNED_WATCH_MILLIS);
	}

	/**
	 * Returns the minimum length of the watch phase if the ramp ends late.
	 * @return milliseconds
	 */
	long minimumWatchMillis() {
		return Math.clamp(this.totalMillis / 40, 1_000, 30_000);
	}

	/**
	 * Returns the minimum time between two steps that are taken without evidence.
	 * @return milliseconds
	 */
	long minimumDwellMillis() {
		return Math.clamp(this.totalMillis / 40, 1_000, 10_000);
	}

	/**
	 * Returns the latest time at which all traffic should have moved.
	 * @return milliseconds since the epoch
	 */
	long latestFullShiftMillis() {
		return this.situation.move().parameters().deadlineMillis() - marginMillis() - watchMillis();
	}

	static int fullShare() {
		return SHARES[SHARES.length - 1];
	}

	/**
	 * Returns the stage of a share.
	 * @param share share in 1/10,000
	 * @return index of the stage, -1 before the first share
	 */
	static int stageOf(int share) {
		int stage = (share > 0) ? 0 : -1;
		while (stage >= 0 && stage + 1 < SHARES.length && SHARES[stage + 1] <= share) {
			stage++;
		}
		return stage;
	}

	/**
	 * Returns the next share, disregarding slots.
	 * @return share in 1/10,000
	 */
	int nextShare() {
		int stage = stageOf(this.situation.move().shareBasisPoints());
		if (stage >= 0) {
			return SHARES[Math.min(stage + 1, SHARES.length - 1)];
		}
		double rampMillis = latestFullShiftMillis() - this.situation.move().startedMillis();
		return (evidenceMillis(0, SHARES[0]) > rampMillis * MAXIMUM_FIRST_STAGE_PART) ? LOW_TRAFFIC_FIRST_SHARE
				: SHARES[0];
	}

	/**
	 * Returns the maximum share for which the ready slots of the new version are
	 * sufficient. From {@link #latestFullShiftMillis()} on, a new version with at least
	 * as many slots as the old one gets everything: in an overload neither has enough,
	 * and the old servers are removed in any case.
	 * @return share in 1/10,000
	 */
	int slotLimit() {
		double slots = this.situation.newServers().readySlots();
		boolean replacesOld = slots > 0 && slots >= this.situation.oldServers().readySlots();
		if (replacesOld && this.situation.nowMillis() >= latestFullShiftMillis()) {
			return ServiceConfiguration.FULL_SHARE_BASIS_POINTS;
		}
		double demand = this.situation.evidence().recent().demandSlots();
		if (demand <= 0) {
			double all = Math.max(this.situation.oldServers().readySlots(), slots);
			return (all <= 0) ? 0 : (int) (ServiceConfiguration.FULL_SHARE_BASIS_POINTS * slots / all);
		}
		return (int) Math.min(ServiceConfiguration.FULL_SHARE_BASIS_POINTS,
				ServiceConfiguration.FULL_SHARE_BASIS_POINTS * slots * MAXIMUM_SLOT_UTILIZATION / demand);
	}

	/**
	 * Returns the share of the next step that the slots allow.
	 * @return share in 1/10,000, the current one if no step is possible
	 */
	int nextShareWithinSlots() {
		int current = this.situation.move().shareBasisPoints();
		int next = Math.min(nextShare(), slotLimit());
		boolean worthwhile = next >= current * MINIMUM_GROWTH || next == nextShare();
		return (next > current && worthwhile) ? next : current;
	}

	/**
	 * Returns the number of calls of the new version that the current stage requires.
	 * @return number of calls
	 */
	double requiredCalls() {
		int share = this.situation.move().shareBasisPoints();
		return requiredCalls(stageOf(share), share);
	}

	/**
	 * Returns the number of calls that one route requires for a verdict of its own.
	 * @param routes number of routes
	 * @return number of calls of the new version
	 */
	double requiredRouteCalls(int routes) {
		double weight = (1 - SequentialComparison.POOLED_WEIGHT) / Math.max(1, routes);
		int share = Math.max(1, this.situation.move().shareBasisPoints());
		return this.required.calls(this.oldErrorShare, ROUTE_DIFFERENCE, share, weight, isFirstStage());
	}

	/**
	 * Returns the planned length of the current stage if there are no failures.
	 * @return milliseconds since the last step
	 */
	double dwellMillis() {
		int stage = stageOf(this.situation.move().shareBasisPoints());
		if (stage < 0) {
			return minimumDwellMillis();
		}
		double stageMillis = requiredMillis(stage, this.situation.move().shareBasisPoints());
		double remaining = stageMillis + requiredMillisAfter(stage);
		double reserve = Math.min(MAXIMUM_RESERVE_MILLIS, this.totalMillis * RESERVE_PART);
		double available = latestFullShiftMillis() - reserve - this.situation.move().stepMillis();
		return (available > remaining) ? stageMillis * available / remaining : stageMillis;
	}

	/**
	 * Returns the length of the current stage when keeping the deadline takes precedence
	 * over evidence. Each remaining stage gets the same fraction of the time that its
	 * evidence requires, or an equal part of the remaining time if the call rate is
	 * unknown.
	 * @return milliseconds since the last step
	 */
	double deadlineDrivenDwellMillis() {
		int share = this.situation.move().shareBasisPoints();
		int stage = Math.min(stageOf(share), SHARES.length - 2);
		double available = latestFullShiftMillis() - this.situation.move().stepMillis();
		double stageMillis = requiredMillis(stage, share);
		double remaining = stageMillis + requiredMillisAfter(stage);
		double part = (remaining < UNKNOWN_DURATION_MILLIS) ? stageMillis / remaining
				: 1.0 / (SHARES.length - 1 - stage);
		double minimum = (this.oldErrorShare > COMMON_FAILURE_SHARE) ? COMMON_FAILURE_WAIT_PART : 0;
		return Math.max(minimumDwellMillis(), available * Math.max(minimum, part));
	}

	/**
	 * Returns how long collecting the evidence of the remaining stages takes from now on.
	 * @return milliseconds
	 */
	double remainingRequiredMillis() {
		int share = this.situation.move().shareBasisPoints();
		int stage = stageOf(share);
		if (stage < 0) {
			return minimumDwellMillis() + requiredMillisAfter(stage);
		}
		if (stage == SHARES.length - 1) {
			return 0;
		}
		Observations observations = MoveEvidence.total(this.situation.sinceStep(),
				this.situation.move().parameters().to());
		double missing = Math.max(0, requiredCalls(stage, share) - observations.calls());
		double elapsed = this.situation.nowMillis() - this.situation.move().stepMillis();
		double minimum = Math.max(0, minimumStageMillis(stage) - elapsed);
		return Math.max(minimum, callMillis(missing, share)) + requiredMillisAfter(stage);
	}

	private double requiredMillisAfter(int stage) {
		double sum = 0;
		for (int next = stage + 1; next < SHARES.length - 1; next++) {
			sum += requiredMillis(next, SHARES[next]);
		}
		return sum;
	}

	private double requiredMillis(int stage, int share) {
		return Math.max(minimumStageMillis(stage), evidenceMillis(stage, share));
	}

	private double minimumStageMillis(int stage) {
		return Math.max(minimumDwellMillis(), MINIMUM_EVIDENCE_MILLIS)
				+ ((stage == 0) ? coldStartMillis(this.situation.move()) : 0);
	}

	private double evidenceMillis(int stage, int share) {
		return callMillis(requiredCalls(stage, share), share);
	}

	private double callMillis(double calls, int share) {
		double rate = this.situation.callsPerSecond() * share / ServiceConfiguration.FULL_SHARE_BASIS_POINTS;
		return (rate > 0) ? calls / rate * 1_000 : (calls > 0) ? UNKNOWN_DURATION_MILLIS : 0;
	}

	private double requiredCalls(int stage, int share) {
		double difference = DIFFERENCES[Math.max(0, stage)];
		return this.required.calls(this.oldErrorShare, difference, Math.max(1, share),
				SequentialComparison.POOLED_WEIGHT, stage <= 0);
	}

	private boolean isFirstStage() {
		return stageOf(this.situation.move().shareBasisPoints()) <= 0;
	}

}
