package io.lavenderroad.policy.calls;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

import io.lavenderroad.model.ServiceConfiguration;

/**
 * Slots of one backend server and a short bounded queue before them. The next slot goes
 * to a call of the most urgent rank that waits. Within a rank customers take turns: it
 * goes to the waiting customer that runs the fewest calls, and among equals to the one
 * that has not been served for longest. A full queue gives up its newest call of the
 * least urgent rank for a more urgent one. The owner guards the queue with a lock and
 * passes clock readings in.
 *
 * @param <T> type of the waiting calls
 */
public final class AdmissionQueue<T> {

	/**
	 * Part of the time to its goal that a call may wait in a lasting queue. A few calls
	 * in the queue keep all slots in use; a longer wait serves nobody more.
	 */
	static final double SHARE_OF_GOAL = 0.125;

	/**
	 * A queue that has not been empty for this long is no burst but a shortage: its bound
	 * becomes the wait of every call (CoDel, Nichols and Jacobson, "Controlling Queue
	 * Delay", 2012).
	 */
	static final long BURST_MILLIS = 100;

	/**
	 * A nested call goes before all others after this wait, so that more urgent calls
	 * cannot hold it, and the slot of the request that makes it, for good.
	 */
	static final long OVERDUE_MILLIS = 40;

	private static final double SERVICE_TIME_WEIGHT = 0.1;

	private final Map<String, Integer> runningByCustomer = new HashMap<>();

	/**
	 * Waiting calls by place: those of a more urgent rank first, and within a rank nested
	 * calls before new ones. In each place customers with waiting calls, the one that
	 * waits longest for a turn first.
	 */
	private final TreeMap<Integer, LinkedHashMap<String, Deque<Waiting<T>>>> places = new TreeMap<>();

	private int slots;

	private int queueLength;

	private int customerShareBasisPoints;

	private int running;

	private int waiting;

	private double serviceMillis;

	private long emptyMillis = Long.MIN_VALUE / 2;

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
	 * Changes the number of slots. Calls that hold a slot keep it.
	 * @param newSlots calls that may run at the same time
	 * @param nowMillis clock reading in milliseconds
	 * @return the waiting calls that hold a slot now
	 */
	public List<T> slots(int newSlots, long nowMillis) {
		this.slots = newSlots;
		List<T> started = new ArrayList<>();
		while (this.running < this.slots && this.waiting > 0) {
			next(nowMillis).ifPresent(started::add);
		}
		return started;
	}

	/**
	 * Offers a call of the most urgent rank.
	 * @param call the call
	 * @param customer customer of the call
	 * @param nowMillis clock reading in milliseconds
	 * @param deadlineMillis when the answer is due, on the same clock
	 * @return the decision; after {@code WAIT} the call is returned by {@link #release}
	 * later or taken back with {@link #remove}
	 */
	public AdmissionDecision offer(T call, String customer, long nowMillis, long deadlineMillis) {
		return offer(call, customer, 0, nowMillis, deadlineMillis);
	}

	/**
	 * Offers a call that is worth most before its deadline.
	 * @param call the call
	 * @param customer customer of the call
	 * @param rank rank of the call, 0 for the most urgent
	 * @param nowMillis clock reading in milliseconds
	 * @param goalMillis when the answer should be there; the call waits only if it is
	 * expected to end before that and, in a lasting queue, for a part of the time only
	 * @param deadlineMillis when the answer is due, on the same clock
	 * @return the decision
	 */
	public AdmissionDecision offer(T call, String customer, int rank, long nowMillis, long goalMillis,
			long deadlineMillis) {
		if (this.waiting == 0) {
			this.emptyMillis = nowMillis;
		}
		boolean free = this.running < this.slots && this.waiting == 0;
		if (!free && nowMillis < deadlineMillis && waitsTooLong(ahead(customer, rank), nowMillis, goalMillis)) {
			return AdmissionDecision.TOO_LATE;
		}
		return offer(call, customer, rank, nowMillis, deadlineMillis);
	}

	/**
	 * Offers a nested call: one that a backend server makes for a request that it runs.
	 * It waits as long as its deadline allows, since the work done for the request is
	 * lost with it.
	 * @param call the call
	 * @param customer customer of the call
	 * @param rank rank of the request for which it is made, 0 for the most urgent
	 * @param nowMillis clock reading in milliseconds
	 * @param deadlineMillis when the answer is due, on the same clock
	 * @return the decision
	 */
	public AdmissionDecision offerNested(T call, String customer, int rank, long nowMillis, long deadlineMillis) {
		if (this.waiting == 0) {
			this.emptyMillis = nowMillis;
		}
		if (nowMillis >= deadlineMillis) {
			return AdmissionDecision.TOO_LATE;
		}
		if (this.running < this.slots && this.waiting == 0) {
			start(customer);
			return AdmissionDecision.RUN;
		}
		return enqueue(call, customer, nestedPlace(rank), nowMillis, deadlineMillis);
	}

	/**
	 * Offers a call.
	 * @param call the call
	 * @param customer customer of the call
	 * @param rank rank of the call, 0 for the most urgent
	 * @param nowMillis clock reading in milliseconds
	 * @param deadlineMillis when the answer is due, on the same clock
	 * @return the decision; after {@code WAIT} the call is returned by {@link #release}
	 * later or taken back with {@link #remove}
	 */
	public AdmissionDecision offer(T call, String customer, int rank, long nowMillis, long deadlineMillis) {
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
		if (nowMillis + expectedMillis(ahead(customer, rank)) > deadlineMillis) {
			return AdmissionDecision.TOO_LATE;
		}
		return enqueue(call, customer, place(rank), nowMillis, deadlineMillis);
	}

	/**
	 * Makes room for a call of a more urgent rank, by taking the newest waiting new call
	 * of the least urgent one.
	 * @param rank rank of the call that was refused with {@code FULL}
	 * @return the call that lost its place, to be refused, or empty if no waiting call is
	 * less urgent
	 */
	public Optional<T> displaceLessUrgent(int rank) {
		return displaceBehind(place(rank));
	}

	/**
	 * Makes room for a nested call, by taking the newest waiting new call of the least
	 * urgent rank.
	 * @param rank rank of the nested call that was refused with {@code FULL}
	 * @return the call that lost its place, to be refused, or empty if no waiting call is
	 * less urgent
	 */
	public Optional<T> displaceByNested(int rank) {
		return displaceBehind(nestedPlace(rank));
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
		for (String name : waitingCustomers()) {
			if (!name.equals(customer) && (largest == null || holding(name) > holding(largest))) {
				largest = name;
			}
		}
		if (largest == null || holding(largest) <= share() || holding(customer) + 1 >= holding(largest)) {
			return Optional.empty();
		}
		for (Integer place : this.places.descendingKeySet()) {
			if (this.places.get(place).containsKey(largest)) {
				return Optional.of(takeNewest(place, largest));
			}
		}
		return Optional.empty();
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
		int before = this.waiting;
		removeIf((name, entry) -> name.equals(customer) && entry.call() == call);
		return this.waiting < before;
	}

	/**
	 * Takes every waiting call back, for a drain.
	 * @return the calls that waited
	 */
	public List<T> clear() {
		List<T> calls = new ArrayList<>(this.waiting);
		this.places.values()
			.forEach((place) -> place.values().forEach((queue) -> queue.forEach((entry) -> calls.add(entry.call()))));
		this.places.clear();
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

	// Nested calls keep their places: work has been done for them.
	private Optional<T> displaceBehind(int place) {
		for (Integer candidate : this.places.tailMap(place, false).descendingKeySet()) {
			if (!isNested(candidate)) {
				return Optional.of(takeNewest(candidate, this.places.get(candidate).lastEntry().getKey()));
			}
		}
		return Optional.empty();
	}

	private AdmissionDecision enqueue(T call, String customer, int place, long nowMillis, long deadlineMillis) {
		if (this.waiting >= this.queueLength) {
			return AdmissionDecision.FULL;
		}
		this.places.computeIfAbsent(place, (key) -> new LinkedHashMap<>())
			.computeIfAbsent(customer, (name) -> new ArrayDeque<>())
			.add(new Waiting<>(call, nowMillis, deadlineMillis));
		this.waiting++;
		return AdmissionDecision.WAIT;
	}

	private static int nestedPlace(int rank) {
		return 2 * rank;
	}

	private static int place(int rank) {
		return 2 * rank + 1;
	}

	private static boolean isNested(int place) {
		return place % 2 == 0;
	}

	private int nextPlace(long nowMillis) {
		for (Map.Entry<Integer, LinkedHashMap<String, Deque<Waiting<T>>>> entry : this.places.entrySet()) {
			long oldest = entry.getValue().firstEntry().getValue().getFirst().sinceMillis();
			if (isNested(entry.getKey()) && nowMillis - oldest >= OVERDUE_MILLIS) {
				return entry.getKey();
			}
		}
		return this.places.firstKey();
	}

	private Optional<T> next(long nowMillis) {
		// Whoever waits for an overdue call sees the deadline itself. So no call waits
		// while a slot is free.
		removeIf((name, entry) -> entry.deadlineMillis() <= nowMillis);
		if (this.places.isEmpty()) {
			return Optional.empty();
		}
		int place = nextPlace(nowMillis);
		LinkedHashMap<String, Deque<Waiting<T>>> byCustomer = this.places.get(place);
		String chosen = fewestRunning(byCustomer.keySet());
		Deque<Waiting<T>> calls = byCustomer.remove(chosen);
		T call = calls.removeFirst().call();
		this.waiting--;
		if (!calls.isEmpty()) {
			// Back to the end, so that other customers get their turn first.
			byCustomer.put(chosen, calls);
		}
		else if (byCustomer.isEmpty()) {
			this.places.remove(place);
		}
		start(chosen);
		return Optional.of(call);
	}

	private String fewestRunning(Collection<String> customers) {
		String chosen = null;
		int fewest = Integer.MAX_VALUE;
		for (String customer : customers) {
			int count = this.runningByCustomer.getOrDefault(customer, 0);
			if (count < fewest) {
				chosen = customer;
				fewest = count;
			}
		}
		return chosen;
	}

	private T takeNewest(int place, String customer) {
		LinkedHashMap<String, Deque<Waiting<T>>> byCustomer = this.places.get(place);
		Deque<Waiting<T>> calls = byCustomer.get(customer);
		T newest = calls.removeLast().call();
		this.waiting--;
		if (calls.isEmpty()) {
			byCustomer.remove(customer);
		}
		if (byCustomer.isEmpty()) {
			this.places.remove(place);
		}
		return newest;
	}

	private void removeIf(BiPredicate<String, Waiting<T>> condition) {
		this.places.values().removeIf((byCustomer) -> {
			byCustomer.entrySet().removeIf((entry) -> {
				int before = entry.getValue().size();
				entry.getValue().removeIf((call) -> condition.test(entry.getKey(), call));
				this.waiting -= before - entry.getValue().size();
				return entry.getValue().isEmpty();
			});
			return byCustomer.isEmpty();
		});
	}

	private void start(String customer) {
		this.running++;
		this.runningByCustomer.merge(customer, 1, Integer::sum);
	}

	private Set<String> waitingCustomers() {
		Set<String> customers = new LinkedHashSet<>();
		this.places.values().forEach((byCustomer) -> customers.addAll(byCustomer.keySet()));
		return customers;
	}

	private boolean othersWait(String customer) {
		return this.places.values()
			.stream()
			.anyMatch((byCustomer) -> byCustomer.size() > (byCustomer.containsKey(customer) ? 1 : 0));
	}

	private int holding(String customer) {
		int count = this.runningByCustomer.getOrDefault(customer, 0);
		for (LinkedHashMap<String, Deque<Waiting<T>>> byCustomer : this.places.values()) {
			Deque<Waiting<T>> calls = byCustomer.get(customer);
			count += (calls != null) ? calls.size() : 0;
		}
		return count;
	}

	private int share() {
		long places = (long) this.slots + this.queueLength;
		return (int) Math.max(1, places * this.customerShareBasisPoints / ServiceConfiguration.WHOLE_SHARE);
	}

	private boolean waitsTooLong(int ahead, long nowMillis, long goalMillis) {
		if (nowMillis + expectedMillis(ahead) > goalMillis) {
			return true;
		}
		boolean burst = nowMillis - this.emptyMillis < BURST_MILLIS;
		return !burst && ahead > 0 && waitMillis(ahead) > (goalMillis - nowMillis) * SHARE_OF_GOAL;
	}

	private int ahead(String customer, int rank) {
		int ahead = 0;
		for (Map.Entry<Integer, LinkedHashMap<String, Deque<Waiting<T>>>> entry : this.places.headMap(place(rank), true)
			.entrySet()) {
			Deque<Waiting<T>> own = entry.getValue().get(customer);
			int turn = (own != null) ? own.size() + 1 : 1;
			boolean sameRank = entry.getKey() == place(rank);
			for (Deque<Waiting<T>> calls : entry.getValue().values()) {
				ahead += sameRank ? Math.min(calls.size(), turn) : calls.size();
			}
		}
		return ahead;
	}

	private double expectedMillis(int ahead) {
		return waitMillis(ahead) + this.serviceMillis;
	}

	// One service time for a slot to become free among all slots.
	private double waitMillis(int ahead) {
		return this.serviceMillis * (ahead + 1) / Math.max(1, this.slots);
	}

	private record Waiting<T>(T call, long sinceMillis, long deadlineMillis) {

	}

}
