package io.lavenderroad.policy.calls;

import java.util.HashMap;
import java.util.Map;

/**
 * Order in which the customers of a queue are served. Turns are shared in proportion to
 * the usual demand of the customers (start-time fair queueing, Goyal, Vin and Cheng,
 * 1996). With equal turns, a customer with 40% of the traffic was served 0.17 times as
 * often as all at four times the capacity. Not thread-safe.
 */
final class CustomerTurns {

	/**
	 * Period after which the calls of a period become part of the usual demand.
	 */
	static final long PERIOD_MILLIS = 5_000;

	/**
	 * Weight of a period in the usual demand.
	 */
	private static final double PERIOD_WEIGHT = 0.02;

	/**
	 * Maximum demand of a period that counts, as a multiple of the usual demand, so that
	 * a surge of 30 s raises the usual demand by an eighth at most.
	 */
	private static final double MAXIMUM_GROWTH = 2;

	/**
	 * Smallest weight of a customer, as a share of the mean, so that a customer without
	 * earlier calls is served.
	 */
	private static final double MINIMUM_OF_MEAN = 0.25;

	/**
	 * Demand below which a customer is forgotten, in calls per period.
	 */
	private static final double FORGET_BELOW = 0.05;

	private final Map<String, Integer> currentCalls = new HashMap<>();

	private final Map<String, Double> usualCalls = new HashMap<>();

	/**
	 * Virtual times at which the next turn of a customer begins, only of those that are
	 * later than the current virtual time.
	 */
	private final Map<String, Double> nextTurns = new HashMap<>();

	private long periodStartMillis = Long.MIN_VALUE / 2;

	private double virtualTime;

	private double minimumWeight = 1;

	private double sum;

	/**
	 * Records an offered call.
	 * @param customer customer of the call
	 * @param nowMillis clock reading in milliseconds
	 */
	void recordOffer(String customer, long nowMillis) {
		long elapsedMillis = nowMillis - this.periodStartMillis;
		if (elapsedMillis >= PERIOD_MILLIS) {
			endPeriod(elapsedMillis);
			this.periodStartMillis = nowMillis;
		}
		this.currentCalls.merge(customer, 1, Integer::sum);
	}

	/**
	 * Records that a call of a customer has started.
	 * @param customer customer of the call
	 */
	void recordStart(String customer) {
		double turn = turn(customer);
		this.virtualTime = turn;
		this.nextTurns.put(customer, turn + 1 / weight(customer));
		if (this.nextTurns.size() > 2 * this.usualCalls.size() + 64) {
			this.nextTurns.values().removeIf((next) -> next <= this.virtualTime);
		}
	}

	/**
	 * Returns when the next turn of a customer begins.
	 * @param customer the customer
	 * @return virtual time; the waiting customer with the lowest one is served next
	 */
	double turn(String customer) {
		return Math.max(this.virtualTime, this.nextTurns.getOrDefault(customer, 0.0));
	}

	/**
	 * Returns the weight of a customer.
	 * @param customer the customer
	 * @return the usual demand in calls per period, 1 while no usual demand is known
	 */
	double weight(String customer) {
		return Math.max(this.minimumWeight, this.usualCalls.getOrDefault(customer, 0.0));
	}

	/**
	 * Returns the share of a customer in the usual demand.
	 * @param customer the customer
	 * @return 0 to 1; 1 while no usual demand is known
	 */
	double share(String customer) {
		return (this.sum > 0) ? Math.min(1, weight(customer) / this.sum) : 1;
	}

	private void endPeriod(long elapsedMillis) {
		boolean first = this.usualCalls.isEmpty();
		double share = first ? 1 : PERIOD_WEIGHT;
		double perPeriod = (double) PERIOD_MILLIS / Math.min(elapsedMillis, 100 * PERIOD_MILLIS);
		this.usualCalls.replaceAll((customer, usual) -> usual * (1 - share));
		this.currentCalls.forEach((customer, calls) -> {
			double limit = first ? Double.MAX_VALUE : MAXIMUM_GROWTH * weight(customer);
			this.usualCalls.merge(customer, share * Math.min(limit, calls * perPeriod), Double::sum);
		});
		this.usualCalls.values().removeIf((usual) -> usual < FORGET_BELOW);
		this.currentCalls.clear();
		this.sum = this.usualCalls.values().stream().mapToDouble(Double::doubleValue).sum();
		this.minimumWeight = this.usualCalls.isEmpty() ? 1 : MINIMUM_OF_MEAN * this.sum / this.usualCalls.size();
		// Turns were counted with the earlier weights.
		this.nextTurns.clear();
	}

}
