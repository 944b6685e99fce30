package io.lavenderroad.policy.calls;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Computes the share of requests that may start if they call a given backend server while
 * they run. It handles an overload of a service whose callers are other services.
 * Refusing a nested call wastes the work already done for the request that makes it, so
 * nested calls are queued, and the requests that would make them are refused before they
 * run, as in DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices",
 * 2018). The share of a priority decreases while its calls wait too long and increases
 * otherwise. It never exceeds the share of the new calls of the same or a higher priority
 * that this backend server admits: nested calls hardly wait, so in a shortage they would
 * otherwise take the slots of more urgent new calls. Not thread-safe.
 */
public final class StartShare {

	/**
	 * Share of the requests that may always start, so that no class of requests is
	 * starved by those of higher priority.
	 */
	static final double MINIMUM_SHARE = 0.1;

	static final long INTERVAL_MILLIS = 100;

	/**
	 * Mean wait of the calls of an interval, as a share of their latency objective, at
	 * which the share of admitted requests stays constant. Above the wait after which a
	 * nested call is served first ({@link AdmissionQueue#NESTED_OVERDUE_SHARE}), since
	 * calls wait that long whenever the slots are busy with new calls.
	 */
	static final double TARGET_WAIT_SHARE = 0.35;

	/**
	 * Maximum decrease of the share in an interval, at twice the target wait or more.
	 */
	private static final double MAXIMUM_DECREASE = 0.15;

	/**
	 * Maximum increase of the share in an interval, without any wait.
	 */
	private static final double MAXIMUM_INCREASE = 0.06;

	private final Map<Integer, PriorityShare> byPriority = new HashMap<>();

	private final NavigableMap<Integer, AdmittedShare> newCalls = new TreeMap<>();

	/**
	 * Records how long a call waited for its slot.
	 * @param priority priority of the call, 0 is the highest
	 * @param waitedMillis time that the call waited
	 * @param latencyObjectiveMillis latency objective of the call, counted from its
	 * arrival
	 * @param nowMillis clock reading in milliseconds
	 */
	public void recordWait(int priority, double waitedMillis, double latencyObjectiveMillis, long nowMillis) {
		double pressure = waitedMillis / Math.max(1, latencyObjectiveMillis * TARGET_WAIT_SHARE);
		this.byPriority.computeIfAbsent(priority, (missing) -> new PriorityShare())
			.add(Math.min(2, pressure), nowMillis);
	}

	/**
	 * Records whether a new call was admitted.
	 * @param priority priority of the call, 0 is the highest
	 * @param admitted whether it got a slot or a place in the queue
	 * @param nowMillis clock reading in milliseconds
	 */
	public void recordNewCall(int priority, boolean admitted, long nowMillis) {
		this.newCalls.computeIfAbsent(priority, (missing) -> new AdmittedShare()).add(admitted, nowMillis);
	}

	/**
	 * Returns the share of the requests of a priority that may start.
	 * @param priority priority of the requests, 0 is the highest
	 * @param nowMillis clock reading in milliseconds
	 * @return 0 to 1
	 */
	public double share(int priority, long nowMillis) {
		PriorityShare recorded = this.byPriority.get(priority);
		double share = (recorded != null) ? recorded.current(nowMillis) : 1;
		for (AdmittedShare admitted : this.newCalls.headMap(priority, true).values()) {
			share = Math.min(share, admitted.share(nowMillis));
		}
		return Math.max(MINIMUM_SHARE, share);
	}

	private static final class PriorityShare {

		private double share = 1;

		private double pressures;

		private int count;

		private long startMillis = Long.MIN_VALUE / 2;

		private void add(double pressure, long nowMillis) {
			current(nowMillis);
			this.pressures += pressure;
			this.count++;
		}

		private double current(long nowMillis) {
			long intervals = Math.min(100, (nowMillis - this.startMillis) / INTERVAL_MILLIS);
			if (intervals > 0) {
				double pressure = (this.count > 0) ? this.pressures / this.count : 0;
				double step = (pressure > 1) ? MAXIMUM_DECREASE * (pressure - 1)
						: MAXIMUM_INCREASE * (pressure - 1) * intervals;
				this.share = Math.clamp(this.share - step, MINIMUM_SHARE, 1);
				this.startMillis = nowMillis;
				this.pressures = 0;
				this.count = 0;
			}
			return this.share;
		}

	}

}
