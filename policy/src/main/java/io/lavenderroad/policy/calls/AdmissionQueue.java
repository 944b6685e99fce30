package io.lavenderroad.policy.calls;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lavenderroad.model.ServiceConfiguration;

/**
 * Slots of one backend server and a short bounded queue before them. Customers take turns
 * in the queue: the next slot goes to the waiting customer that runs the fewest calls,
 * and among equals to the one that has not been served for longest. The owner guards the
 * queue with a lock and passes clock readings in.
 *
 * @param <T> type of the waiting calls
 */
public final class AdmissionQueue<T> {

	private static final double SERVICE_TIME_WEIGHT = 0.1;

	private final int slots;

	private final Map<String, Integer> runningByCustomer = new HashMap<>();

	/**
	 * Customers with waiting calls, the one that waits longest for a turn first.
	 */
	private final LinkedHashMap<String, Deque<Waiting<T>>> waitingByCustomer = new LinkedHashMap<>();

	private int queueLength;

	private int customerShareBasisPoints;

	private int running;

	private int waiting;

	private double serviceMillis;

	/**
	 * Creates an empty queue.
	 * @param slots calls that may run at the same time
	 * @param queueLength calls that may wait
	 * @param customerShareBasisPoints largest share of slots and queue for one customer
	 * while others wait, in 1/10,000
	 */
	public AdmissionQueue(int slots, int queueLength, int customerShareBasisPoints) {
		this.slots = slots;
		limits(queueLength, customerShareBasisPoints);
	}

	/**
	 * Changes the limits. Calls that wait already keep their places.
	 * @param newQueueLength calls that may wait
	 * @param newCustomerShareBasisPoints largest share of one customer, in 1/10,000
	 */
	public void limits(int newQueueLength, int newCustomerShareBasisPoints) {
		this.queueLength = newQueueLength;
		this.customerShareBasisPoints = newCustomerShareBasisPoints;
	}

	/**
	 * Offers a call.
	 * @param call the call
	 * @param customer customer of the call
	 * @param nowMillis clock reading in milliseconds
	 * @param deadlineMillis when the answer is due, on the same clock
	 * @return the decision; after {@code WAIT} the call is returned by {@link #release}
	 * later or taken back with {@link #remove}
	 */
	public AdmissionDecision offer(T call, String customer, long nowMillis, long deadlineMillis) {
		if (nowMillis >= deadlineMillis) {
			return AdmissionDecision.TOO_LATE;
		}
		if (this.running < this.slots && this.waiting == 0) {
			start(customer);
			return AdmissionDecision.RUN;
		}
		if (othersWait(customer) && holding(customer) >= share()) {
			return AdmissionDecision.OVER_SHARE;
		}
		if (nowMillis + expectedMillis(customer) > deadlineMillis) {
			return AdmissionDecision.TOO_LATE;
		}
		if (this.waiting >= this.queueLength) {
			return AdmissionDecision.FULL;
		}
		this.waitingByCustomer.computeIfAbsent(customer, (name) -> new ArrayDeque<>())
			.add(new Waiting<>(call, deadlineMillis));
		this.waiting++;
		return AdmissionDecision.WAIT;
	}

	/**
	 * Makes room for a customer that holds less than its share, by taking the newest
	 * waiting call of the customer that holds the most and more than its share.
	 * @param customer the customer that was refused with {@code FULL}
	 * @return the call that lost its place, to be refused, or empty if the queue is
	 * fairly used
	 */
	public Optional<T> displace(String customer) {
		String largest = null;
		for (String name : this.waitingByCustomer.keySet()) {
			if (!name.equals(customer) && (largest == null || holding(name) > holding(largest))) {
				largest = name;
			}
		}
		if (largest == null || holding(largest) <= share() || holding(customer) + 1 >= holding(largest)) {
			return Optional.empty();
		}
		Deque<Waiting<T>> calls = this.waitingByCustomer.get(largest);
		Waiting<T> newest = calls.removeLast();
		this.waiting--;
		if (calls.isEmpty()) {
			this.waitingByCustomer.remove(largest);
		}
		return Optional.of(newest.call());
	}

	/**
	 * Gives a slot back and hands it to the next waiting call.
	 * @param customer customer of the call that ended
	 * @param tookMillis how long the call held the slot, or a negative number if that
	 * tells nothing of the server's speed
	 * @param nowMillis clock reading in milliseconds
	 * @return the call that holds the slot now, or empty if none waits
	 */
	public Optional<T> release(String customer, double tookMillis, long nowMillis) {
		this.running--;
		this.runningByCustomer.computeIfPresent(customer, (name, count) -> (count > 1) ? count - 1 : null);
		if (tookMillis >= 0) {
			this.serviceMillis = (this.serviceMillis == 0) ? tookMillis
					: this.serviceMillis + SERVICE_TIME_WEIGHT * (tookMillis - this.serviceMillis);
		}
		return (this.running < this.slots) ? next(nowMillis) : Optional.empty();
	}

	/**
	 * Takes a waiting call back.
	 * @param call the call
	 * @param customer customer of the call
	 * @return true if it was still waiting
	 */
	public boolean remove(T call, String customer) {
		Deque<Waiting<T>> calls = this.waitingByCustomer.get(customer);
		if (calls == null || !calls.removeIf((entry) -> entry.call() == call)) {
			return false;
		}
		this.waiting--;
		if (calls.isEmpty()) {
			this.waitingByCustomer.remove(customer);
		}
		return true;
	}

	/**
	 * Takes every waiting call back, for a drain.
	 * @return the calls that waited
	 */
	public List<T> clear() {
		List<T> calls = new ArrayList<>(this.waiting);
		this.waitingByCustomer.values().forEach((queue) -> queue.forEach((entry) -> calls.add(entry.call())));
		this.waitingByCustomer.clear();
		this.waiting = 0;
		return calls;
	}

	/**
	 * Returns the calls that hold a slot.
	 * @return count
	 */
	public int running() {
		return this.running;
	}

	/**
	 * Returns the calls that wait.
	 * @return count
	 */
	public int waiting() {
		return this.waiting;
	}

	/**
	 * Returns the smoothed time that a call holds a slot.
	 * @return milliseconds, 0 before the first call has ended
	 */
	public double serviceMillis() {
		return this.serviceMillis;
	}

	private Optional<T> next(long nowMillis) {
		dropOverdue(nowMillis);
		String chosen = null;
		int fewest = Integer.MAX_VALUE;
		for (String customer : this.waitingByCustomer.keySet()) {
			int count = this.runningByCustomer.getOrDefault(customer, 0);
			if (count < fewest) {
				chosen = customer;
				fewest = count;
			}
		}
		if (chosen == null) {
			return Optional.empty();
		}
		Deque<Waiting<T>> calls = this.waitingByCustomer.remove(chosen);
		T call = calls.removeFirst().call();
		this.waiting--;
		if (!calls.isEmpty()) {
			// Back to the end, so that other customers get their turn first.
			this.waitingByCustomer.put(chosen, calls);
		}
		start(chosen);
		return Optional.of(call);
	}

	/**
	 * Forgets calls whose deadline has passed; whoever waits for them sees the deadline
	 * itself. So no call waits while a slot is free.
	 * @param nowMillis clock reading in milliseconds
	 */
	private void dropOverdue(long nowMillis) {
		Iterator<Deque<Waiting<T>>> queues = this.waitingByCustomer.values().iterator();
		while (queues.hasNext()) {
			Deque<Waiting<T>> calls = queues.next();
			int before = calls.size();
			calls.removeIf((entry) -> entry.deadlineMillis() <= nowMillis);
			this.waiting -= before - calls.size();
			if (calls.isEmpty()) {
				queues.remove();
			}
		}
	}

	private void start(String customer) {
		this.running++;
		this.runningByCustomer.merge(customer, 1, Integer::sum);
	}

	private boolean othersWait(String customer) {
		return this.waitingByCustomer.size() > (this.waitingByCustomer.containsKey(customer) ? 1 : 0);
	}

	private int holding(String customer) {
		Deque<Waiting<T>> calls = this.waitingByCustomer.get(customer);
		return this.runningByCustomer.getOrDefault(customer, 0) + ((calls != null) ? calls.size() : 0);
	}

	private int share() {
		long places = (long) this.slots + this.queueLength;
		return (int) Math.max(1, places * this.customerShareBasisPoints / ServiceConfiguration.WHOLE_SHARE);
	}

	private double expectedMillis(String customer) {
		Deque<Waiting<T>> own = this.waitingByCustomer.get(customer);
		int turn = (own != null) ? own.size() + 1 : 1;
		int ahead = 0;
		for (Deque<Waiting<T>> calls : this.waitingByCustomer.values()) {
			ahead += Math.min(calls.size(), turn);
		}
		// One service time for the slot to become free among all slots, and one to run.
		return this.serviceMillis * (ahead + 1) / Math.max(1, this.slots) + this.serviceMillis;
	}

	private record Waiting<T>(T call, long deadlineMillis) {

	}

}
