package io.lavenderroad.control.raft;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import io.lavenderroad.control.log.DurableLog;
import io.lavenderroad.control.log.MemoryFileSystem;
import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.core.wire.MessageCatalog;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.testng.Assert;

/**
 * Control members with a simulated clock, network and disk. {@link #step()} drives all
 * members, and all randomness derives from one seed. Each step checks that a term has at
 * most one leader, that all members apply the same commands at the same indexes, and that
 * there are never fewer voters than requested.
 */
final class SimulatedGroup {

	static final MemberOptions OPTIONS = MemberOptions.builder()
		.heartbeatMillis(100)
		.electionTimeoutMillis(500)
		.proposalTimeoutMillis(3_000)
		.catchUpTimeoutMillis(5_000)
		.batchBytes(200)
		.snapshotChunkBytes(64)
		.snapshotEveryEntries(40)
		.retainedEntries(5)
		.build();

	private static final long STEP_MILLIS = 10;

	private static final long CALL_TIMEOUT_MILLIS = 300;

	private static final int MAXIMUM_DELAY_MILLIS = 40;

	private static final MessageCatalog CATALOG = MessageCatalog.builder().addAll(ControlMessages.types()).build();

	private final Random random;

	private final MemberOptions options;

	private final MemberSet initial;

	private final Map<String, Node> nodes = new TreeMap<>();

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>();

	private final Set<String> isolated = new HashSet<>();

	private final Map<Long, String> leaders = new HashMap<>();

	private final Map<Long, String> applied = new TreeMap<>();

	private final Map<String, CompletableFuture<ProposalOutcome>> proposals = new TreeMap<>();

	private double lossRate;

	private long now = 1_000_000;

	private long sequence;

	SimulatedGroup(long seed, String... voters) {
		this(seed, OPTIONS, voters);
	}

	SimulatedGroup(long seed, MemberOptions options, String... voters) {
		this.random = new Random(seed);
		this.options = options;
		this.initial = MemberSet.of(List.of(voters).stream().map((id) -> Member.voter(id, id + ":1")).toList());
		for (String voter : voters) {
			startNew(voter, this.initial);
		}
	}

	long now() {
		return this.now;
	}

	boolean isRunning(String id) {
		return this.nodes.containsKey(id) && this.nodes.get(id).running;
	}

	RandomGenerator random() {
		return this.random;
	}

	void setLossRate(double rate) {
		this.lossRate = rate;
	}

	void isolate(String id) {
		this.isolated.add(id);
	}

	void heal(String id) {
		this.isolated.remove(id);
	}

	void startNonMember(String id) {
		startNew(id, MemberSet.empty());
	}

	void stop(String id) {
		Node node = this.nodes.get(id);
		node.member.close();
		node.running = false;
	}

	/**
	 * Crashes a member, discards its unsynced data, and restarts it from its disk.
	 * @param id id of the member
	 */
	void restart(String id) {
		Node node = this.nodes.get(id);
		node.member.close();
		node.files.crash(this.random);
		open(node);
	}

	ControlMember<RecordingStateMachine> member(String id) {
		return this.nodes.get(id).member;
	}

	MemoryFileSystem files(String id) {
		return this.nodes.get(id).files;
	}

	DurableLog log(String id) {
		return this.nodes.get(id).log;
	}

	MemberStatus status(String id) {
		return member(id).status();
	}

	Collection<String> ids() {
		return this.nodes.keySet();
	}

	Optional<String> leader() {
		return this.nodes.values()
			.stream()
			.filter((node) -> node.running && !this.isolated.contains(node.id))
			.filter((node) -> node.member.status().role() == MemberRole.LEADER)
			.map((node) -> node.id)
			.reduce((first, second) -> (status(first).term() > status(second).term()) ? first : second);
	}

	String awaitLeader() {
		stepUntil("a leader that has committed",
				() -> leader().map(this::status)
					.filter((status) -> status.commitIndex() == status.lastIndex() && status.commitIndex() > 0)
					.isPresent());
		return leader().orElseThrow();
	}

	CompletableFuture<ProposalOutcome> propose(String id, String command) {
		CompletableFuture<ProposalOutcome> outcome = member(id).submit(command.getBytes(StandardCharsets.UTF_8));
		this.proposals.put(command, outcome);
		return outcome;
	}

	/**
	 * Proposes a command until it is accepted. Immediately after a partition a proposal
	 * may go to a deposed leader and be refused.
	 * @param command prefix of the commands; the number of the attempt is appended
	 */
	void proposeUntilAccepted(String command) {
		for (int attempt = 0; attempt < 20; attempt++) {
			if (await(propose(awaitLeader(), command + " " + attempt)) instanceof ProposalOutcome.Accepted) {
				return;
			}
		}
		Assert.fail(command + " was never accepted");
	}

	ProposalOutcome await(CompletableFuture<ProposalOutcome> outcome) {
		stepUntil("an outcome", outcome::isDone);
		return outcome.join();
	}

	void stepUntil(String expectation, BooleanSupplier condition) {
		for (int count = 0; count < 3_000; count++) {
			if (condition.getAsBoolean()) {
				return;
			}
			step();
		}
		Assert.fail("30 simulated seconds without " + expectation + ": "
				+ this.nodes.keySet().stream().map(this::status).toList());
	}

	void run(long millis) {
		for (long end = this.now + millis; this.now < end;) {
			step();
		}
	}

	void step() {
		this.now += STEP_MILLIS;
		while (!this.deliveries.isEmpty() && this.deliveries.peek().atMillis <= this.now) {
			this.deliveries.remove().action.run();
		}
		for (Node node : List.copyOf(this.nodes.values())) {
			if (node.running) {
				drive(node);
			}
		}
		check();
	}

	/**
	 * Waits until all running members have applied the same entries, and checks the
	 * outcomes against them: each accepted command was applied exactly once, refused
	 * commands were not applied.
	 */
	void checkOutcomes() {
		String last = awaitLeader();
		stepUntil("equal logs",
				() -> this.nodes.values()
					.stream()
					.filter((node) -> node.running && status(last).members().find(node.id).isPresent())
					.allMatch((node) -> node.member.status().appliedIndex() == status(last).lastIndex()));
		List<String> commands = member(last).stateMachine().commands();
		Assert.assertEquals(commands.size(), new HashSet<>(commands).size(), "a command was applied twice");
		this.proposals.forEach((command, outcome) -> {
			switch (outcome.getNow(new ProposalOutcome.Unknown("pending"))) {
				case ProposalOutcome.Accepted accepted ->
					Assert.assertEquals(this.applied.get(accepted.index()), command);
				case ProposalOutcome.NotRun refused ->
					Assert.assertFalse(commands.contains(command), command + " was refused: " + refused.reason());
				case ProposalOutcome.Unknown unknown -> Assert.assertNotNull(unknown.reason());
			}
			if (outcome.getNow(null) instanceof ProposalOutcome.Accepted) {
				Assert.assertTrue(commands.contains(command), command + " was accepted and is lost");
			}
		});
		for (Node node : this.nodes.values()) {
			if (node.running && status(last).members().find(node.id).isPresent()) {
				Assert.assertEquals(node.member.stateMachine().commands(), commands, "state of " + node.id);
			}
		}
	}

	private void startNew(String id, MemberSet members) {
		Node node = new Node(id, members);
		this.nodes.put(id, node);
		open(node);
	}

	private void open(Node node) {
		node.log = DurableLog.open(node.files, Path.of("data"), 500);
		node.member = ControlMember.<RecordingStateMachine>builder()
			.id(node.id)
			.initialMembers(node.members)
			.options(this.options)
			.clock(() -> this.now)
			.random(new Random(this.random.nextLong()))
			.log(node.log)
			.stateMachine(new RecordingStateMachine())
			.build();
		node.member.addApplyListener((index, command, result) -> {
			String text = new String(command, StandardCharsets.UTF_8);
			String other = this.applied.putIfAbsent(index, text);
			Assert.assertTrue(other == null || other.equals(text), "entry " + index + " is " + text + " and " + other);
		});
		node.running = true;
	}

	private void drive(Node node) {
		node.member.tick();
		node.member.flush();
		node.member.applyCommitted();
		for (String peer : this.nodes.keySet()) {
			for (Optional<PeerMessage> message = node.member.nextMessage(peer); message
				.isPresent(); message = node.member.nextMessage(peer)) {
				transmit(node, this.nodes.get(peer), message.get());
			}
		}
	}

	private void transmit(Node from, Node to, PeerMessage message) {
		ControlMember<?> sender = from.member;
		if (isLost(from, to)) {
			if (message.expectsResponse()) {
				schedule(CALL_TIMEOUT_MILLIS, () -> sender.sendFailed(to.id, message));
			}
			return;
		}
		Object received = copy(message.message());
		schedule(delay(), () -> {
			Object response = (to.running) ? receive(to.member, received) : null;
			if (!message.expectsResponse()) {
				return;
			}
			if (response == null || isLost(to, from)) {
				schedule(CALL_TIMEOUT_MILLIS, () -> sender.sendFailed(to.id, message));
			}
			else {
				Object answer = copy(response);
				schedule(delay(), () -> sender.responseReceived(to.id, message, answer));
			}
		});
	}

	private static Object receive(ControlMember<?> member, Object message) {
		return switch (message) {
			case VoteRequest request -> member.handleVote(request);
			case AppendRequest request -> member.handleAppend(request);
			case SnapshotChunk chunk -> member.handleSnapshot(chunk);
			case CommitNotice notice -> {
				member.handleCommitNotice(notice);
				yield null;
			}
			case TimeoutNow request -> {
				member.handleTimeoutNow(request);
				yield null;
			}
			default -> throw new IllegalArgumentException(message.toString());
		};
	}

	private boolean isLost(Node from, Node to) {
		return this.isolated.contains(from.id) || this.isolated.contains(to.id)
				|| this.random.nextDouble() < this.lossRate;
	}

	private long delay() {
		return this.random.nextInt(MAXIMUM_DELAY_MILLIS);
	}

	private void schedule(long millis, Runnable action) {
		this.deliveries.add(new Delivery(this.now + millis, this.sequence++, action));
	}

	private static Object copy(Object message) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			CATALOG.encode(message, packer);
			return CATALOG.decode(Fields.unpacker(packer.toByteArray()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void check() {
		for (Node node : this.nodes.values()) {
			MemberStatus status = node.member.status();
			if (node.running && status.role() == MemberRole.LEADER) {
				String other = this.leaders.putIfAbsent(status.term(), node.id);
				Assert.assertTrue(other == null || other.equals(node.id),
						"term " + status.term() + " has leaders " + other + " and " + node.id);
			}
			long voters = status.members().members().stream().filter(Member::voter).count();
			Assert.assertTrue(status.members().members().isEmpty() || voters >= this.initial.requestedVoters(),
					"voters: " + status.members());
		}
	}

	/**
	 * A member with its disk.
	 */
	private static final class Node {

		private final String id;

		private final MemberSet members;

		private final MemoryFileSystem files = new MemoryFileSystem();

		private ControlMember<RecordingStateMachine> member;

		private DurableLog log;

		private boolean running;

		private Node(String id, MemberSet members) {
			this.id = id;
			this.members = members;
		}

	}

	/**
	 * An event that is scheduled for a later step.
	 *
	 * @param atMillis time of the event
	 * @param sequence order of events at the same time
	 * @param action the event
	 */
	private record Delivery(long atMillis, long sequence, Runnable action) implements Comparable<Delivery> {

		@Override
		public int compareTo(Delivery other) {
			int order = Long.compare(this.atMillis, other.atMillis);
			return (order != 0) ? order : Long.compare(this.sequence, other.sequence);
		}

	}

}
