package io.lavenderroad.control.raft;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.lavenderroad.control.log.DurableLog;
import io.lavenderroad.control.log.StorageFile;
import io.lavenderroad.control.log.StorageFileSystem;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.FrameServer;
import io.lavenderroad.core.wire.Hello;
import io.lavenderroad.core.wire.MessageCatalog;
import io.lavenderroad.core.wire.WireOptions;

/**
 * Measures throughput and latency of accepted proposals, bytes on the wire, and the
 * duration for which writes stop when the leader stops without a leadership transfer.
 * Runs three members in one process with loopback connections and files on the local
 * disk, so the results do not include network latency between machines.
 */
public final class ReplicationBenchmark {

	private static final int MEMBERS = 3;

	private static final int COMMAND_BYTES = 200;

	private static final long WARM_UP_MILLIS = 2_000;

	private static final long LEADER_TIMEOUT_MILLIS = 20_000;

	private static final long POLL_MILLIS = 10;

	private static final int SYNC_SAMPLES = 200;

	private static final int MAXIMUM_PROPOSALS = 2_000_000;

	private final List<Instance> instances = new ArrayList<>();

	private ReplicationBenchmark() {
	}

	/**
	 * Runs the benchmark and prints Markdown.
	 * @param arguments folder for the files, then the seconds for each line, both
	 * optional
	 * @throws IOException if a socket or a file fails
	 * @throws InterruptedException if it is interrupted
	 * @throws ExecutionException if a client fails
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException, ExecutionException {
		Path parent = (arguments.length > 0) ? Path.of(arguments[0]) : Path.of("target");
		long millis = TimeUnit.SECONDS.toMillis((arguments.length > 1) ? Long.parseLong(arguments[1]) : 5);
		Files.createDirectories(parent);
		Path folder = Files.createTempDirectory(parent, "replication-benchmark");
		new ReplicationBenchmark().run(folder, millis, System.out);
	}

	private void run(Path folder, long millis, PrintStream output)
			throws IOException, InterruptedException, ExecutionException {
		output.println(String.format(Locale.ROOT, "append and sync of %d bytes alone: p50 %.2f ms", COMMAND_BYTES,
				medianSyncMillis(folder.resolve("probe"))));
		startMembers(folder);
		try {
			ControlMember<Counter> leader = awaitLeader();
			measure(leader, 8, WARM_UP_MILLIS);
			output.println("| clients | commits/s | p50 ms | p99 ms | bytes on the wire per commit "
					+ "| syncs of the leader per commit | not accepted |");
			output.println("|---|---|---|---|---|---|---|");
			for (int clients : new int[] { 1, 8, 64 }) {
				output.println(measure(leader, clients, millis));
			}
			output.println(String.format(Locale.ROOT, "confirmed reads, 1 client: p50 %.2f ms",
					medianConfirmationMillis(leader)));
			output.println(String.format(Locale.ROOT, "stopped leader to the next accepted proposal: %.0f ms",
					failoverMillis(leader)));
		}
		finally {
			stopMembers();
		}
	}

	private void startMembers(Path folder) throws IOException {
		List<FrameServer> servers = new ArrayList<>();
		List<Member> members = new ArrayList<>();
		for (int number = 1; number <= MEMBERS; number++) {
			Instance instance = new Instance("control-" + number, folder.resolve("control-" + number));
			this.instances.add(instance);
			instance.server = FrameServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
					instance.options(), instance);
			servers.add(instance.server);
			members.add(Member.voter(instance.id, "127.0.0.1:" + instance.server.address().getPort()));
		}
		this.instances.forEach((instance) -> instance.start(MemberSet.of(members)));
	}

	private void stopMembers() {
		for (Instance instance : this.instances) {
			instance.member.close();
			instance.server.close();
			instance.log.close();
		}
	}

	private ControlMember<Counter> awaitLeader() throws InterruptedException {
		for (long waited = 0; waited < LEADER_TIMEOUT_MILLIS; waited += POLL_MILLIS) {
			for (Instance instance : this.instances) {
				if (instance.member.confirmLeadership().isPresent()) {
					return instance.member;
				}
			}
			Thread.sleep(POLL_MILLIS);
		}
		throw new LavenderroadException("no leader after " + LEADER_TIMEOUT_MILLIS + " ms");
	}

	private String measure(ControlMember<Counter> leader, int clients, long millis)
			throws InterruptedException, ExecutionException {
		long bytesBefore = wireBytes();
		long syncsBefore = syncs(leader);
		long start = System.nanoTime();
		long end = start + TimeUnit.MILLISECONDS.toNanos(millis);
		List<long[]> latencies = new ArrayList<>();
		long notAccepted = 0;
		try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
			List<Future<Client>> running = new ArrayList<>();
			for (int count = 0; count < clients; count++) {
				running.add(executor.submit(() -> new Client().run(leader, end, MAXIMUM_PROPOSALS / clients)));
			}
			for (Future<Client> client : running) {
				latencies.add(client.get().latencies());
				notAccepted += client.get().notAccepted;
			}
		}
		double seconds = (System.nanoTime() - start) / 1e9;
		long[] nanos = latencies.stream().flatMapToLong(Arrays::stream).sorted().toArray();
		return String.format(Locale.ROOT, "| %d | %.0f | %.2f | %.2f | %.0f | %.3f | %d |", clients,
				nanos.length / seconds, percentileMillis(nanos, 0.50), percentileMillis(nanos, 0.99),
				(wireBytes() - bytesBefore) / (double) nanos.length,
				(syncs(leader) - syncsBefore) / (double) nanos.length, notAccepted);
	}

	private double failoverMillis(ControlMember<Counter> leader) throws InterruptedException {
		Instance stopped = this.instances.stream()
			.filter((instance) -> instance.member == leader)
			.findFirst()
			.orElseThrow();
		this.instances.remove(stopped);
		long start = System.nanoTime();
		stopped.server.close();
		Thread closing = Thread.ofVirtual().start(leader::close);
		ControlMember<Counter> next = awaitLeader();
		next.propose(new byte[COMMAND_BYTES]);
		double millis = (System.nanoTime() - start) / 1e6;
		closing.join();
		stopped.log.close();
		return millis;
	}

	private static double medianConfirmationMillis(ControlMember<Counter> leader) {
		long[] nanos = new long[SYNC_SAMPLES];
		for (int sample = 0; sample < SYNC_SAMPLES; sample++) {
			long start = System.nanoTime();
			leader.confirmLeadership().orElseThrow();
			nanos[sample] = System.nanoTime() - start;
		}
		Arrays.sort(nanos);
		return percentileMillis(nanos, 0.50);
	}

	private static double medianSyncMillis(Path file) throws IOException {
		long[] nanos = new long[SYNC_SAMPLES];
		try (StorageFile probe = StorageFileSystem.disk().open(file)) {
			for (int sample = 0; sample < SYNC_SAMPLES; sample++) {
				long start = System.nanoTime();
				probe.append(ByteBuffer.allocate(COMMAND_BYTES));
				probe.sync();
				nanos[sample] = System.nanoTime() - start;
			}
		}
		Arrays.sort(nanos);
		return percentileMillis(nanos, 0.50);
	}

	private static double percentileMillis(long[] sortedNanos, double quantile) {
		return (sortedNanos.length == 0) ? Double.NaN : sortedNanos[(int) (sortedNanos.length * quantile)] / 1e6;
	}

	private long wireBytes() {
		return this.instances.stream()
			.flatMap((instance) -> instance.server.connections().stream())
			.mapToLong((connection) -> connection.bytesReceived() + connection.bytesSent())
			.sum();
	}

	private long syncs(ControlMember<Counter> leader) {
		return this.instances.stream()
			.filter((instance) -> instance.member == leader)
			.mapToLong((instance) -> instance.log.syncCount())
			.sum();
	}

	/**
	 * A state machine that counts commands.
	 */
	private static final class Counter implements StateMachine {

		private long count;

		@Override
		public byte[] apply(long index, byte[] command) {
			this.count++;
			return new byte[0];
		}

		@Override
		public byte[] snapshot() {
			return ByteBuffer.allocate(Long.BYTES).putLong(this.count).array();
		}

		@Override
		public void restore(byte[] snapshot) {
			this.count = ByteBuffer.wrap(snapshot).getLong();
		}

	}

	/**
	 * A member with its server.
	 */
	private static final class Instance implements ConnectionHandler {

		private final String id;

		private final DurableLog log;

		private FrameServer server;

		private volatile ControlMember<Counter> member;

		private Instance(String id, Path folder) {
			this.id = id;
			this.log = DurableLog.open(StorageFileSystem.disk(), folder, DurableLog.DEFAULT_SEGMENT_BYTES);
		}

		private WireOptions options() {
			return WireOptions.builder()
				.hello(new Hello("benchmark", this.id, "control", System.currentTimeMillis(), ""))
				.catalog(MessageCatalog.builder().addAll(ControlMessages.types()).build())
				.build();
		}

		private void start(MemberSet members) {
			this.member = ControlMember.<Counter>builder()
				.id(this.id)
				.initialMembers(members)
				.random(new Random(this.id.hashCode()))
				.log(this.log)
				.stateMachine(new Counter())
				.build();
			this.member.start(options());
		}

		@Override
		public void received(Connection connection, Object message) {
			this.member.handler().received(connection, message);
		}

		@Override
		public Object answer(Connection connection, Object request) {
			return this.member.handler().answer(connection, request);
		}

	}

	/**
	 * A client that proposes one command at a time.
	 */
	private static final class Client {

		private long[] nanos = new long[1_024];

		private int accepted;

		private long notAccepted;

		private Client run(ControlMember<Counter> leader, long end, int maximumProposals) {
			for (int count = 0; count < maximumProposals && System.nanoTime() < end; count++) {
				long start = System.nanoTime();
				if (leader.propose(new byte[COMMAND_BYTES]) instanceof ProposalOutcome.Accepted) {
					add(System.nanoTime() - start);
				}
				else {
					this.notAccepted++;
				}
			}
			return this;
		}

		private void add(long latency) {
			if (this.accepted == this.nanos.length) {
				this.nanos = Arrays.copyOf(this.nanos, 2 * this.nanos.length);
			}
			this.nanos[this.accepted++] = latency;
		}

		private long[] latencies() {
			return Arrays.copyOf(this.nanos, this.accepted);
		}

	}

}
