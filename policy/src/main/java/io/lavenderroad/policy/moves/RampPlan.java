package io.lavenderroad.policy.moves;

import io.lavenderroad.model.MoveState;
import io.lavenderroad.model.Observations;
import io.lavenderroad.model.ServiceConfiguration;

/**
 * Ramp planned backwards from the deadline: the watch and the margin come off first, and
 * the rest is divided among the stages by the time that their evidence takes.
 */
final class RampPlan {

	/**
	 * Shares of the stages in 1/10,000. The first stays under the 1% of calls that may
	 * meet a version that is bad at once. The last leaves enough calls on the old version
	 * to compare with and to keep its servers warm.
	 */
	private static final int[] SHARES = { 50, 200, 500, 1_000, 2_500, 5_000, 9_500 };

	/**
	 * Error share above the old one that a stage excludes before the next is entered.
	 */
	private static final double[] DIFFERENCES = { 0.2, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05 };

	/**
	 * First share of a service with so few calls that the usual one takes too long.
	 */
	private static final int THIN_FIRST_SHARE = 90;

	/**
	 * Part of the ramp that the first stage may take before its share is raised.
	 */
	private static final double FIRST_STAGE_PART = 0.3;

	/**
	 * Part of the ready slots of the new version that the ramp uses.
	 */
	private static final double SLOT_USE = 0.85;

	/**
	 * Smallest growth of a share that is worth a step.
	 */
	private static final double LEAST_GROWTH = 1.2;

	/**
	 * Error share on one route above the old one that a stage excludes for each route
	 * with enough calls.
	 */
	private static final double ROUTE_DIFFERENCE = 0.5;

	private static final long LONGEST_PLANNED_WATCH_MILLIS = 1_800_000;

	/**
	 * End of the watch when the deadline is far: the planned watch and the reserve.
	 */
	static final long LONGEST_WATCH_MILLIS = 3_600_000;

	private static final long LONGEST_RESERVE_MILLIS = 1_800_000;

	/**
	 * Shortest time in which the comparison can find a fault that began with the step:
	 * the logarithm needed is about 17, and a second adds at most 2.
	 */
	private static final long LEAST_EVIDENCE_MILLIS = 9_000;

	/**
	 * Time after the first calls of the new version during which slow calls are excused:
	 * a server that is ready may still fill its caches with its first calls.
	 */
	private static final long COLD_START_MILLIS = 60_000;

	/**
	 * Part of the time to the deadline that is kept free for failures during the ramp,
	 * when evidence is worth little; without one it lengthens the watch.
	 */
	private static final double RESERVE_PART = 0.2;

	/**
	 * Time that the evidence takes without any calls.
	 */
	private static final double UNKNOWN_MILLIS = 1e15;

	/**
	 * Error share of the old version from which on something fails that both versions
	 * depend on. It is likely to end, so half of the time left is spent waiting for that.
	 */
	private static final double COMMON_FAILURE_SHARE = 0.05;

	private static final double COMMON_FAILURE_PART = 0.5;

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
	 * Returns how long after the first share slow calls are excused, which is also how
	 * long the first share lasts at least. In a move of less than four minutes the larger
	 * shares come so soon that a longer cold start harms many callers and counts as slow.
	 * @param move the move
	 * @return milliseconds
	 */
	static long coldStartMillis(MoveState move) {
		long total = move.parameters().deadlineMillis() - move.startedMillis();
		return Math.clamp(total / 4, 0, COLD_START_MILLIS);
	}

	/**
	 * Returns how long before the deadline the last step is taken, so that it is active
	 * everywhere in time.
	 * @return milliseconds
	 */
	long marginMillis() {
		return Math.clamp(this.totalMillis / 20, 1, 5_000);
	}

	/**
	 * Returns the planned watch; it lasts until the deadline if the ramp was early.
	 * @return milliseconds
	 */
	long watchMillis() {
		return Math.clamp(this.totalMillis / 5, 1, LONGEST_PLANNED_WATCH_MILLIS);
	}

	/**
	 * Returns the shortest watch, for a ramp that was late.
	 * @return milliseconds
	 */
	long leastWatchMillis() {
		return Math.clamp(this.totalMillis / 40, 1_000, 30_000);
	}

	/**
	 * Returns the shortest time between two steps that are taken without evidence.
	 * @return milliseconds
	 */
	long leastDwellMillis() {
		return Math.clamp(this.totalMillis / 40, 1_000, 10_000);
	}

	/**
	 * Returns when all traffic should have moved at the latest.
	 * @return milliseconds since the epoch
	 */
	long latestFullShiftMillis() {
		return this.situation.move().parameters().deadlineMillis() - marginMillis() - watchMillis();
	}

	static int fullShare() {
		return SHARES[SHARES.length - 1];
	}

	/**
	 * Returns the stage that a share belongs to.
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
	 * Returns the share that comes next, without regard to slots.
	 * @return share in 1/10,000
	 */
	int nextShare() {
		int stage = stageOf(this.situation.move().shareBasisPoints());
		if (stage >= 0) {
			return SHARES[Math.min(stage + 1, SHARES.length - 1)];
		}
		double rampMillis = latestFullShiftMillis() - this.situation.move().startedMillis();
		return (evidenceMillis(0, SHARES[0]) > rampMillis * FIRST_STAGE_PART) ? THIN_FIRST_SHARE : SHARES[0];
	}

	/**
	 * Returns the largest share that the ready slots of the new version carry. Before the
	 * deadline a new version with as many slots as the old one carries everything: in an
	 * overload neither has enough, and the old servers go in any case.
	 * @return share in 1/10,000
	 */
	int slotLimit() {
		double slots = this.situation.newServers().readySlots();
		boolean replacesOld = slots > 0 && slots >= this.situation.oldServers().readySlots();
		if (replacesOld && this.situation.nowMillis() >= latestFullShiftMillis()) {
			return ServiceConfiguration.WHOLE_SHARE;
		}
		double demand = this.situation.evidence().recent().demandSlots();
		if (demand <= 0) {
			double all = Math.max(this.situation.oldServers().readySlots(), slots);
			return (all <= 0) ? 0 : (int) (ServiceConfiguration.WHOLE_SHARE * slots / all);
		}
		return (int) Math.min(ServiceConfiguration.WHOLE_SHARE,
				ServiceConfiguration.WHOLE_SHARE * slots * SLOT_USE / demand);
	}

	/**
	 * Returns the share of the next step within the slots.
	 * @return share in 1/10,000, the present one if no step is possible
	 */
	int nextShareWithinSlots() {
		int present = this.situation.move().shareBasisPoints();
		int next = Math.min(nextShare(), slotLimit());
		boolean worthwhile = next >= present * LEAST_GROWTH || next == nextShare();
		return (next > present && worthwhile) ? next : present;
	}

	/**
	 * Returns the calls of the new version that the present stage needs.
	 * @return number of calls
	 */
	double requiredCalls() {
		int share = this.situation.move().shareBasisPoints();
		return requiredCalls(stageOf(share), share);
	}

	/**
	 * Returns the calls that one route needs for its own verdict.
	 * @param routes number of routes
	 * @return number of calls of the new version
	 */
	double requiredRouteCalls(int routes) {
		double weight = (1 - SequentialComparison.POOLED_WEIGHT) / Math.max(1, routes);
		int share = Math.max(1, this.situation.move().shareBasisPoints());
		return this.required.calls(this.oldErrorShare, ROUTE_DIFFERENCE, share, weight, isFirst());
	}

	/**
	 * Returns how long the present stage lasts when everything goes well.
	 * @return milliseconds since the last step
	 */
	double dwellMillis() {
		int stage = stageOf(this.situation.move().shareBasisPoints());
		if (stage < 0) {
			return leastDwellMillis();
		}
		double own = needMillis(stage, this.situation.move().shareBasisPoints());
		double remaining = own + needAfterMillis(stage);
		double reserve = Math.min(LONGEST_RESERVE_MILLIS, this.totalMillis * RESERVE_PART);
		double available = latestFullShiftMillis() - reserve - this.situation.move().stepMillis();
		return (available > remaining) ? own * available / remaining : own;
	}

	/**
	 * Returns the dwell when the deadline matters more than the evidence: each remaining
	 * stage gets the same part of its evidence, and an equal part of the time if nothing
	 * is known about the calls.
	 * @return milliseconds since the last step
	 */
	double hurriedDwellMillis() {
		int share = this.situation.move().shareBasisPoints();
		int stage = Math.min(stageOf(share), SHARES.length - 2);
		double available = latestFullShiftMillis() - this.situation.move().stepMillis();
		double own = needMillis(stage, share);
		double remaining = own + needAfterMillis(stage);
		double part = (remaining < UNKNOWN_MILLIS) ? own / remaining : 1.0 / (SHARES.length - 1 - stage);
		double least = (this.oldErrorShare > COMMON_FAILURE_SHARE) ? COMMON_FAILURE_PART : 0;
		return Math.max(leastDwellMillis(), available * Math.max(least, part));
	}

	/**
	 * Returns how long the evidence of the remaining stages takes from now on.
	 * @return milliseconds
	 */
	double remainingNeedMillis() {
		int share = this.situation.move().shareBasisPoints();
		int stage = stageOf(share);
		if (stage < 0) {
			return leastDwellMillis() + needAfterMillis(stage);
		}
		if (stage == SHARES.length - 1) {
			return 0;
		}
		Observations seen = MoveEvidence.total(this.situation.sinceStep(), this.situation.move().parameters().to());
		double missing = Math.max(0, requiredCalls(stage, share) - seen.calls());
		double elapsed = this.situation.nowMillis() - this.situation.move().stepMillis();
		double least = Math.max(0, leastMillis(stage) - elapsed);
		return Math.max(least, callMillis(missing, share)) + needAfterMillis(stage);
	}

	private double needAfterMillis(int stage) {
		double sum = 0;
		for (int next = stage + 1; next < SHARES.length - 1; next++) {
			sum += needMillis(next, SHARES[next]);
		}
		return sum;
	}

	private double needMillis(int stage, int share) {
		return Math.max(leastMillis(stage), evidenceMillis(stage, share));
	}

	private double leastMillis(int stage) {
		return Math.max(leastDwellMillis(), LEAST_EVIDENCE_MILLIS)
				+ ((stage == 0) ? coldStartMillis(this.situation.move()) : 0);
	}

	private double evidenceMillis(int stage, int share) {
		return callMillis(requiredCalls(stage, share), share);
	}

	private double callMillis(double calls, int share) {
		double rate = this.situation.callsPerSecond() * share / ServiceConfiguration.WHOLE_SHARE;
		return (rate > 0) ? calls / rate * 1_000 : (calls > 0) ? UNKNOWN_MILLIS : 0;
	}

	private double requiredCalls(int stage, int share) {
		double difference = DIFFERENCES[Math.max(0, stage)];
		return this.required.calls(this.oldErrorShare, difference, Math.max(1, share),
				SequentialComparison.POOLED_WEIGHT, stage <= 0);
	}

	private boolean isFirst() {
		return stageOf(this.situation.move().shareBasisPoints()) <= 0;
	}

}
