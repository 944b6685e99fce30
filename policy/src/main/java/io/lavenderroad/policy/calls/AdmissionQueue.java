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
 * Slots of one backend server and a bounded queue in front of them. A free slot goes to
 * the waiting call with the highest priority. Among calls of the same priority, customers
 * are served fairly: they take turns in proportion to their usual demand; among those
 * whose turn it is, the slot goes to the one with the fewest running calls and then to
 * the one served least recently. When the queue is full, a call of higher priority can
 * evict the newest call of the lowest priority, and a call of a customer can evict the
 * newest call of one that uses much more than its part. Not thread-safe: the caller holds
 * a lock and passes in clock readings.
 *
 * @param <T> type of the waiting calls
 */
public final class AdmissionQueue<T> {

	/**
	 * Maximum share of the time left until its latency objective that a call may wait in
	 * a standing queue. A few waiting calls already keep all slots busy; longer waits do
	 * not increase the throughput.
	 */
	static final double SHARE_OF_OBJECTIVE = 0.125;

	/**
	 * A queue that has not been empty for this long is a standing queue, caused by a lack
	 * of capacity and not by a burst. Without a stricter limit, every call would then
	 * wait for as long as its limit allows (CoDel, Nichols and Jacobson, "Controlling
	 * Queue Delay", 2012).
	 */
	static final long BURST_MILLIS = 100;

	/**
	 * Wait after which a nested call is served before all other calls, as a share of its
	 * latency objective, so that calls of higher priority cannot starve it. A waiting
	 * nested call also keeps the slot of the request that makes it occupied.
	 */
	static final double NESTED_OVERDUE_SHARE = 0.15;

	/**
	 * Use of slots and queue places by a customer, relative to its usual share, above
	 * which its calls are evicted for a customer that uses less than its usual share.
	 * Lower factors evict calls for ordinary variations of the arrivals.
	 */
	private static final double EXCESS_FACTOR = 1.25;

	private static final double SERVICE_TIME_WEIGHT = 0.1;

	private final Map<String, Integer> runningByCustomer = new HashMap<>();

	private final CustomerTurns turns = new CustomerTurns();

	/**
	 * Waiting calls by queue level and customer. Higher priorities come first, and at the
	 * same priority nested calls come before new ones. Within a level, the customers with
	 * waiting calls are ordered by the time of their last turn, the longest ago first.
	 */
	private final TreeMap<Integer, LinkedHashMap<String, Deque<WaitingCall<T>>>> levels = new TreeMap<>();

	private int slots;

	private int queueLength;

	private int customerShareBasisPoints;

	private int running;

	private int waiting;

	private double serviceMillis;

	private long lastEmptyMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates an empty queue.
	 * @param slots maximum number of calls that run at the same time
	 * @param queueLength maximum number of waiting calls
	 * @param customerShareBasisPoints maximum share of slots and queue capacity for one
	 * customer while others wait, in 1/10,000
	 */
	public AdmissionQueue(int slots, int queueLength, int customerShareBasisPoints) {
		this.slots = slots;
		setLimits(queueLength, customerShareBasisPoints);
	}

	/**
	 * Changes the limits. Calls that are already waiting stay in the queue.
	 * @param newQueueLength maximum number of waiting calls
	 * @param newCustomerShareBasisPoints maximum share of one customer, in 1/10,000
	 */
	public void setLimits(int newQueueLength, int newCustomerShareBasisPoints) {
		this.queueLength = newQueueLength;
		this.customerShareBasisPoints = newCustomerShareBasisPoints;
	}

	/**
	 * Changes the number of slots and starts waiting calls if slots were added. Running
	 * calls keep their slots.
	 * @param newSlots maximum number of calls that run at the same time
	 * @param nowMillis clock reading in milliseconds
	 * @return the waiting calls that have now been given a slot
	 */
	public List<T> setSlots(int newSlots, long nowMillis) {
		this.slots = newSlots;
		List<T> started = new ArrayList<>();
		while (this.running < this.slots && this.waiting > 0) {
			startNext(nowMillis).ifPresent(started::add);
		}
		return started;
	}

	/**
	 * Offers a call of the highest priority.
	 * @param call the call
	 * @param customer customer of the call
	 * @param nowMillis clock reading in milliseconds
	 * @param deadlineMillis deadline of the call, on the same clock
	 * @return the decision; after {@code WAIT} the call is returned by {@link #release}
	 * later or removed with {@link #remove}
	 */
	public AdmissionDecision offer(T call, String customer, long nowMillis, long deadlineMillis) {
		return offer(call, customer, 0, nowMillis, deadlineMillis);
	}

	/**
	 * Offers a call with a latency objective.
	 * @param call the call
	 * @param customer customer of the call
	 * @param priority priority of the call, 0 is the highest
	 * @param nowMillis clock reading in milliseconds
	 * @param objectiveMillis end of the latency objective of the call, on the same clock;
	 * the call is queued only if it is expected to end before this time and, in a
	 * standing queue, if its expected wait is a small share of the time left
	 * @param deadlineMillis deadline of the call, on the same clock
	 * @return the decision
	 */
	public AdmissionDecision offer(T call, String customer, int priority, long nowMillis, long objectiveMillis,
			long deadlineMillis) {
		if (this.waiting == 0) {
			this.lastEmptyMillis = nowMillis;
		}
		boolean free = this.running < this.slots && this.waiting == 0;
		if (!free && nowMillis < deadlineMillis
				&& waitsTooLong(callsAhead(customer, priority), nowMillis, objectiveMillis)) {
			return AdmissionDecision.TOO_LATE;
		}
		return offer(call, customer, priority, nowMillis, deadlineMillis);
	}

	/**
	 * Offers a nested call, which a backend server makes while it runs a request. It may
	 * wait until its deadline, since refusing it would waste the work already done for
	 * the request.
	 * @param call the call
	 * @param customer customer of the call
	 * @param priority priority of the request that makes the call, 0 is the highest
	 * @param nowMillis clock reading in milliseconds
	 * @param objectiveMillis end of the latency objective of the call, on the same clock
	 * @param deadlineMillis deadline of the call, on the same clock
	 * @return the decision
	 */
	public AdmissionDecision offerNested(T call, String customer, int priority, long nowMillis, long objectiveMillis,
			long deadlineMillis) {
		if (this.waiting == 0) {
			this.lastEmptyMillis = nowMillis;
		}
		if (nowMillis >= deadlineMillis) {
			return AdmissionDecision.TOO_LATE;
		}
		if (this.running < this.slots && this.waiting == 0) {
			start(customer);
			return AdmissionDecision.RUN;
		}
		long overdueMillis = nowMillis + Math.round((objectiveMillis - nowMillis) * NESTED_OVERDUE_SHARE);
		return enqueue(customer, nestedLevel(priority), new WaitingCall<>(call, overdueMillis, deadlineMillis));
	}

	/**
	 * Offers a call.
	 * @param call the call
	 * @param customer customer of the call
	 * @param priority priority of the call, 0 is the highest
	 * @param nowMillis clock reading in milliseconds
	 * @param deadlineMillis deadline of the call, on the same clock
	 * @return the decision; after {@code WAIT} the call is returned by {@link #release}
	 * later or removed with {@link #remove}
	 */
	public AdmissionDecision offer(T call, String customer, int priority, long nowMillis, long deadlineMillis) {
		if (nowMillis >= deadlineMillis) {
			return AdmissionDecision.TOO_LATE;
		}
		if (this.running < this.slots && this.waiting == 0) {
			start(customer);
			this.turns.recordStart(customer);
			return AdmissionDecision.RUN;
		}
		if (isFullFor(priority) && othersWait(customer) && usage(customer) >= shareLimit()) {
			return AdmissionDecision.OVER_SHARE;
		}
		if (nowMillis + expectedMillis(callsAhead(customer, priority)) > deadlineMillis) {
			return AdmissionDecision.TOO_LATE;
		}
		return enqueue(customer, level(priority), new WaitingCall<>(call, deadlineMillis, deadlineMillis));
	}

	/**
	 * Makes space for a call of higher priority by evicting the newest waiting new call
	 * of the lowest priority.
	 * @param priority priority of the call that was refused with {@code FULL}
	 * @return the evicted call, which must be refused, or empty if no waiting new call
	 * has a lower priority
	 */
	public Optional<T> evictLowerPriority(int priority) {
		return evictBelow(level(priority));
	}

	/**
	 * Makes space for a nested call by evicting the newest waiting new call of the lowest
	 * priority.
	 * @param priority priority of the nested call that was refused with {@code FULL}
	 * @return the evicted call, which must be refused, or empty if no waiting new call of
	 * the same or a lower priority exists
	 */
	public Optional<T> evictForNested(int priority) {
		return evictBelow(nestedLevel(priority));
	}

	/**
	 * Makes space for a customer below its share by evicting a waiting call of the
	 * customer that uses the most slots and queue places for its usual demand, if that
	 * customer exceeds its share or uses much more than this one: the newest one of its
	 * lowest priority. Nested calls and calls of a higher priority are not evicted.
	 * @param customer the customer that was refused with {@code FULL}
	 * @param priority priority of its call, 0 is the highest
	 * @return the evicted call, which must be refused, or empty if no other customer
	 * exceeds its share or the usage is already balanced
	 */
	public Optional<T> evictForCustomer(String customer, int priority) {
		String largest = null;
		for (String name : waitingCustomers(priority)) {
			if (!name.equals(customer) && (largest == null || relativeUsage(name) > relativeUsage(largest))) {
				largest = name;
			}
		}
		if (largest == null || usage(customer) + 1 >= usage(largest)) {
			return Optional.empty();
		}
		boolean excess = relativeUsage(largest) >= EXCESS_FACTOR && usage(customer) + 1 <= usualUsage(customer);
		if (usage(largest) <= shareLimit() && !excess) {
			return Optional.empty();
		}
		for (Integer level : this.levels.tailMap(level(priority), true).descendingKeySet()) {
			if (!isNested(level) && this.levels.get(level).containsKey(largest)) {
				return Optional.of(removeNewest(level, largest));
			}
		}
		return Optional.empty();
	}

	/**
	 * Records an offered call as demand of its customer. Refused calls count, too.
	 * @param customer customer of the call
	 * @param nowMillis clock reading in milliseconds
	 */
	public void recordDemand(String customer, long nowMillis) {
		this.turns.recordOffer(customer, nowMillis);
	}

	/**
	 * Releases a slot and gives it to the next waiting call.
	 * @param customer customer of the call that ended
	 * @param heldMillis how long the call held the slot, or a negative number if it does
	 * not reflect the speed of the server and must not count towards its service time
	 * @param nowMillis clock reading in milliseconds
	 * @return the call that has been given the slot, or empty if no call waits or the
	 * number of slots was reduced
	 */
	public Optional<T> release(String customer, double heldMillis, long nowMillis) {
		this.running--;
		this.runningByCustomer.computeIfPresent(customer, (name, count) -> (count > 1) ? count - 1 : null);
		if (heldMillis >= 0) {
			this.serviceMillis = (this.serviceMillis == 0) ? heldMillis
					: this.serviceMillis + SERVICE_TIME_WEIGHT * (heldMillis - this.serviceMillis);
		}
		return (this.running < this.slots) ? startNext(nowMillis) : Optional.empty();
	}

	/**
	 * Removes a waiting call from the queue.
	 * @param call the call
	 * @param customer customer of the call
	 * @return whether the call was still waiting
	 */
	public boolean remove(T call, String customer) {
		int before = this.waiting;
		removeIf((name, entry) -> name.equals(customer) && entry.call() == call);
		return this.waiting < before;
	}

	/**
	 * Removes all waiting calls, when the server is drained.
	 * @return the calls that were waiting
	 */
	public List<T> clear() {
		List<T> calls = new ArrayList<>(this.waiting);
		this.levels.values()
			.forEach((level) -> level.values().forEach((queue) -> queue.forEach((entry) -> calls.add(entry.call()))));
		this.levels.clear();
		this.waiting = 0;
		return calls;
	}

	/**
	 * Returns the number of calls that hold a slot.
	 * @return count
	 */
	public int running() {
		return this.running;
	}

	/**
	 * Returns the number of waiting calls.
	 * @return count
	 */
	public int waiting() {
		return this.waiting;
	}

	/**
	 * Returns the exponentially smoothed time that a call holds a slot.
	 * @return milliseconds, 0 before the first call has ended
	 */
	public double serviceMillis() {
		return this.serviceMillis;
	}

	// Skips nested calls, since work has already been done for the requests that make
	// them.
	private Optional<T> evictBelow(int level) {
		for (Integer lower : this.levels.tailMap(level, false).descendingKeySet()) {
			if (!isNested(lower)) {
				return Optional.of(removeNewest(lower, this.levels.get(lower).lastEntry().getKey()));
			}
		}
		return Optional.empty();
	}

	private AdmissionDecision enqueue(String customer, int level, WaitingCall<T> call) {
		if (this.waiting >= this.queueLength) {
			return AdmissionDecision.FULL;
		}
		this.levels.computeIfAbsent(level, (key) -> new LinkedHashMap<>())
			.computeIfAbsent(customer, (name) -> new ArrayDeque<>())
			.add(call);
		this.waiting++;
		return AdmissionDecision.WAIT;
	}

	private static int nestedLevel(int priority) {
		return 2 * priority;
	}

	private static int level(int priority) {
		return 2 * priority + 1;
	}

	private static boolean isNested(int level) {
		return level % 2 == 0;
	}

	private int nextLevel(long nowMillis) {
		for (Map.Entry<Integer, LinkedHashMap<String, Deque<WaitingCall<T>>>> entry : this.levels.entrySet()) {
			long overdue = entry.getValue().firstEntry().getValue().getFirst().overdueMillis();
			if (isNested(entry.getKey()) && nowMillis >= overdue) {
				return entry.getKey();
			}
		}
		return this.levels.firstKey();
	}

	private Optional<T> startNext(long nowMillis) {
		// Expired calls are dropped, so that no call waits while a slot is free. Whoever
		// waits for such a call detects its deadline without this class.
		removeIf((name, entry) -> entry.deadlineMillis() <= nowMillis);
		if (this.levels.isEmpty()) {
			return Optional.empty();
		}
		int level = nextLevel(nowMillis);
		LinkedHashMap<String, Deque<WaitingCall<T>>> byCustomer = this.levels.get(level);
		String chosen = customerWithNextTurn(byCustomer.keySet());
		Deque<WaitingCall<T>> calls = byCustomer.remove(chosen);
		T call = calls.removeFirst().call();
		this.waiting--;
		if (!calls.isEmpty()) {
			// Append the customer, so that other customers get their turn first.
			byCustomer.put(chosen, calls);
		}
		else if (byCustomer.isEmpty()) {
			this.levels.remove(level);
		}
		start(chosen);
		if (!isNested(level)) {
			this.turns.recordStart(chosen);
		}
		return Optional.of(call);
	}

	private String customerWithNextTurn(Collection<String> customers) {
		String chosen = null;
		double earliest = Double.MAX_VALUE;
		int fewest = Integer.MAX_VALUE;
		for (String customer : customers) {
			double turn = this.turns.turn(customer);
			int count = this.runningByCustomer.getOrDefault(customer, 0);
			if (turn < earliest || (turn == earliest && count < fewest)) {
				chosen = customer;
				earliest = turn;
				fewest = count;
			}
		}
		return chosen;
	}

	private T removeNewest(int level, String customer) {
		LinkedHashMap<String, Deque<WaitingCall<T>>> byCustomer = this.levels.get(level);
		Deque<WaitingCall<T>> calls = byCustomer.get(customer);
		T newest = calls.removeLast().call();
		this.waiting--;
		if (calls.isEmpty()) {
			byCustomer.remove(customer);
		}
		if (byCustomer.isEmpty()) {
			this.levels.remove(level);
		}
		return newest;
	}

	private void removeIf(BiPredicate<String, WaitingCall<T>> condition) {
		this.levels.values().removeIf((byCustomer) -> {
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

	private Set<String> waitingCustomers(int priority) {
		Set<String> customers = new LinkedHashSet<>();
		this.levels.tailMap(level(priority)).forEach((level, byCustomer) -> {
			if (!isNested(level)) {
				customers.addAll(byCustomer.keySet());
			}
		});
		return customers;
	}

	private double relativeUsage(String customer) {
		return usage(customer) / usualUsage(customer);
	}

	private double usualUsage(String customer) {
		return Math.max(1, this.turns.share(customer) * (this.slots + this.queueLength));
	}

	// A call that can evict one of a lower priority finds the queue not full.
	private boolean isFullFor(int priority) {
		return this.waiting >= this.queueLength
				&& this.levels.tailMap(level(priority), false).keySet().stream().allMatch(AdmissionQueue::isNested);
	}

	private boolean othersWait(String customer) {
		return this.levels.values()
			.stream()
			.anyMatch((byCustomer) -> byCustomer.size() > (byCustomer.containsKey(customer) ? 1 : 0));
	}

	private int usage(String customer) {
		int count = this.runningByCustomer.getOrDefault(customer, 0);
		for (LinkedHashMap<String, Deque<WaitingCall<T>>> byCustomer : this.levels.values()) {
			Deque<WaitingCall<T>> calls = byCustomer.get(customer);
			count += (calls != null) ? calls.size() : 0;
		}
		return count;
	}

	private int shareLimit() {
		long capacity = (long) this.slots + this.queueLength;
		return (int) Math.max(1,
				capacity * this.customerShareBasisPoints / ServiceConfiguration.FULL_SHARE_BASIS_POINTS);
	}

	private boolean waitsTooLong(int ahead, long nowMillis, long objectiveMillis) {
		if (nowMillis + expectedMillis(ahead) > objectiveMillis) {
			return true;
		}
		boolean burst = nowMillis - this.lastEmptyMillis < BURST_MILLIS;
		return !burst && ahead > 0 && waitMillis(ahead) > (objectiveMillis - nowMillis) * SHARE_OF_OBJECTIVE;
	}

	// Waiting nested calls of any priority count, since they are soon overdue and then
	// served first.
	private int callsAhead(String customer, int priority) {
		int ahead = 0;
		for (Map.Entry<Integer, LinkedHashMap<String, Deque<WaitingCall<T>>>> entry : this.levels.entrySet()) {
			int level = entry.getKey();
			if (level == level(priority)) {
				ahead += callsAheadOfSamePriority(customer, entry.getValue());
			}
			else if (level < level(priority) || isNested(level)) {
				ahead += entry.getValue().values().stream().mapToInt(Deque::size).sum();
			}
		}
		return ahead;
	}

	private int callsAheadOfSamePriority(String customer, Map<String, Deque<WaitingCall<T>>> byCustomer) {
		Deque<WaitingCall<T>> customerCalls = byCustomer.get(customer);
		int position = (customerCalls != null) ? customerCalls.size() + 1 : 1;
		return byCustomer.values().stream().mapToInt((calls) -> Math.min(calls.size(), position)).sum();
	}

	private double expectedMillis(int ahead) {
		return waitMillis(ahead) + this.serviceMillis;
	}

	// While all slots are busy, one becomes free every serviceMillis / slots on average.
	private double waitMillis(int ahead) {
		return this.serviceMillis * (ahead + 1) / Math.max(1, this.slots);
	}

	private record WaitingCall<T>(T call, long overdueMillis, long deadlineMillis) {

	}

}
