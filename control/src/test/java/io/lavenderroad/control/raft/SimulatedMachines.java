package io.lavenderroad.control.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Control members that join, leave, are killed and lose their disks, in simulated time.
 * The processes join and leave as {@link GroupJoin} and {@link GroupLeave} do.
 */
final class SimulatedMachines {

	static final int TARGET_VOTERS = 5;

	/**
	 * Time from the start of a process to its first join request.
	 */
	static final long START_UP_MILLIS = 1_500;

	private static final long JOIN_INTERVAL_MILLIS = 500;

	private static final long LEAVE_TIMEOUT_MILLIS = 3_000;

	/**
	 * Interval between the actions of the processes; a process that ends asks in each.
	 */
	private static final long STEP_MILLIS = 100;

	private static final MemberOptions OPTIONS = MemberOptions.builder()
		.targetVoters(TARGET_VOTERS)
		.catchUpTimeoutMillis(5_000)
		.build();

	private final SimulatedGroup group;

	/**
	 * Addresses of the processes that run or start, by id.
	 */
	private final Map<String, String> addresses = new TreeMap<>();

	private final Map<String, Long> nextJoinMillis = new TreeMap<>();

	private final Map<String, Long> leaveEndMillis = new TreeMap<>();

	private final List<Start> starts = new ArrayList<>();

	SimulatedMachines(long seed) {
		String[] voters = { "a", "b", "c", "d", "e" };
		this.group = new SimulatedGroup(seed, OPTIONS, voters);
		for (String voter : voters) {
			this.addresses.put(voter, voter + ":1");
			this.nextJoinMillis.put(voter, this.group.now());
		}
	}

	SimulatedGroup group() {
		return this.group;
	}

	/**
	 * Starts a process with an empty disk.
	 * @param id its id, which was never used before
	 * @param address its address
	 * @param delayMillis time until it starts
	 */
	void start(String id, String address, long delayMillis) {
		this.starts.add(new Start(id, address, this.group.now() + delayMillis + START_UP_MILLIS));
	}

	void kill(String id) {
		this.group.stop(id);
		this.addresses.remove(id);
		this.leaveEndMillis.remove(id);
	}

	/**
	 * Kills a process whose disk is lost; it starts again at its address.
	 * @param id its id; the process that starts has the id with a suffix
	 * @param darkMillis time until it starts
	 */
	void loseDisk(String id, long darkMillis) {
		String address = this.addresses.get(id);
		kill(id);
		start(id + "-2", address, darkMillis);
	}

	/**
	 * Ends a process gracefully.
	 * @param id its id
	 */
	void terminate(String id) {
		this.leaveEndMillis.put(id, this.group.now() + LEAVE_TIMEOUT_MILLIS);
	}

	void run(long millis) {
		for (long end = this.group.now() + millis; this.group.now() < end;) {
			this.group.run(STEP_MILLIS);
			startDue();
			List.copyOf(this.addresses.keySet()).forEach(this::join);
			List.copyOf(this.leaveEndMillis.keySet()).forEach(this::leave);
		}
	}

	private void startDue() {
		for (Start start : List.copyOf(this.starts)) {
			if (this.group.now() >= start.atMillis()) {
				this.starts.remove(start);
				this.group.startNonMember(start.id());
				this.addresses.put(start.id(), start.address());
				this.nextJoinMillis.put(start.id(), this.group.now());
			}
		}
	}

	private void join(String id) {
		if (this.leaveEndMillis.containsKey(id) || this.group.now() < this.nextJoinMillis.get(id)
				|| this.group.status(id).members().find(id).isPresent()) {
			return;
		}
		this.nextJoinMillis.put(id, this.group.now() + JOIN_INTERVAL_MILLIS);
		JoinRequest request = new JoinRequest(id, this.addresses.get(id));
		List<String> others = this.addresses.keySet().stream().filter((other) -> !other.equals(id)).toList();
		String contact = others.get(this.group.random().nextInt(others.size()));
		this.group.member(contact)
			.handleJoin(request)
			.leaderAddress()
			.flatMap(this::processAt)
			.ifPresent((leader) -> this.group.member(leader).handleJoin(request));
	}

	private void leave(String id) {
		boolean overdue = this.group.now() >= this.leaveEndMillis.get(id);
		if (overdue || !this.group.member(id).mayBeSurplus() || isReleased(id)) {
			kill(id);
		}
	}

	private boolean isReleased(String id) {
		LeaveRequest request = new LeaveRequest(id);
		LeaveResponse local = this.group.member(id).handleLeave(request);
		if (local.leaderAddress().isEmpty()) {
			return local.released();
		}
		return processAt(local.leaderAddress().get())
			.map((leader) -> this.group.member(leader).handleLeave(request).released())
			.orElse(false);
	}

	private Optional<String> processAt(String address) {
		return this.addresses.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(address))
			.map(Map.Entry::getKey)
			.findFirst();
	}

	private record Start(String id, String address, long atMillis) {

	}

}
