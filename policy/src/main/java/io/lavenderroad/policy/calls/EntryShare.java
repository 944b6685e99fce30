package io.lavenderroad.policy.calls;

import java.util.HashMap;
import java.util.Map;

/**
 * Says which share of the requests that call a backend server while they run may start.
 * The load that it answers is a service short of slots whose callers are other services:
 * refusing a call that a running request makes loses the work done for the request, so
 * such calls wait, and the requests that make them are refused before they run, as DAGOR
 * does (Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018). The
 * share of a rank falls while its calls wait for too long and rises otherwise. Not safe
 * for use by many threads.
 */
public final class EntryShare {

	/**
	 * Part of the requests that may always start, so that no class of requests is cut off
	 * for the sake of more urgent ones.
	 */
	static final double LEAST = 0.1;

	static final long INTERVAL_MILLIS = 100;

	/**
	 * Mean wait of the calls of an interval, in parts of their goal, at which the share
	 * stays as it is.
	 */
	static final double WAIT_SHARE = 0.2;

	/**
	 * Largest fall of the share in an interval.
	 */
	private static final double DECREASE = 0.15;

	/**
	 * Largest rise of the share in an interval.
	 */
	private static final double INCREASE = 0.06;

	private final Map<Integer, RankShare> byRank = new HashMap<>();

	/**
	 * Records how long a call waited for its slot.
	 * @param rank rank of the call
	 * @param waitedMillis the wait
	 * @param goalMillis time from its arrival to its goal
	 * @param nowMillis clock reading in milliseconds
	 */
	public void waited(int rank, double waitedMillis, double goalMillis, long nowMillis) {
		double pressure = waitedMillis / Math.max(1, goalMillis * WAIT_SHARE);
		this.byRank.computeIfAbsent(rank, (missing) -> new RankShare()).add(Math.min(2, pressure), nowMillis);
	}

	/**
	 * Returns the share of the requests of a rank that may start.
	 * @param rank rank of the requests
	 * @param nowMillis clock reading in milliseconds
	 * @return 0 to 1
	 */
	public double share(int rank, long nowMillis) {
		RankShare known = this.byRank.get(rank);
		return (known != null) ? known.current(nowMillis) : 1;
	}

	private static final class RankShare {

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
				double step = (pressure > 1) ? DECREASE * (pressure - 1) : INCREASE * (pressure - 1) * intervals;
				this.share = Math.clamp(this.share - step, LEAST, 1);
				this.startMillis = nowMillis;
				this.pressures = 0;
				this.count = 0;
			}
			return this.share;
		}

	}

}
