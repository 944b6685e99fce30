package io.lavenderroad.control.raft;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.lavenderroad.control.log.DurableLog;
import io.lavenderroad.control.log.EntryKind;
import io.lavenderroad.control.log.LogEntry;
import io.lavenderroad.control.log.StorageFileSystem;
import io.lavenderroad.control.raft.ProposalOutcome.Accepted;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.FrameServer;
import io.lavenderroad.core.wire.Hello;
import io.lavenderroad.core.wire.MessageCatalog;
import io.lavenderroad.core.wire.WireOptions;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against faults in the tasks of a started member: a group with real connections
 * that does not replicate, does not replace broken connections, closes its log when a
 * connection thread is interrupted, or loses accepted entries when its leader shuts down.
 */
public class LoopbackGroupTests {

	private static final int MAXIMUM_ATTEMPTS = 3_000;

	private static final long PAUSE_MILLIS = 20;

	private final List<Instance> instances = new ArrayList<>();

	@BeforeMethod
	void start() throws IOException {
		List<Member> members = new ArrayList<>();
		for (String id : List.of("a", "b", "c")) {
			Instance instance = new Instance(id);
			this.instances.add(instance);
			members.add(Member.voter(id, "127.0.0.1:" + instance.server.address().getPort()));
		}
		Path folder = Files.createTempDirectory(Path.of("target"), "loopback-group");
		this.instances.forEach((instance) -> instance.start(folder.resolve(instance.id), MemberSet.of(members)));
	}

	@AfterMethod
	void stop() {
		for (Instance instance : this.instances) {
			instance.member.close();
			instance.server.close();
		}
		this.instances.clear();
	}

	@Test
	public void acceptedEntriesSurviveBrokenConnectionsAndShutdownOfTheLeader() throws Exception {
		for (int count = 0; count < 20; count++) {
			proposeUntilAccepted("command " + count);
			this.instances.forEach((instance) -> instance.server.connections()
				.forEach((connection) -> connection.close("test breaks it")));
		}
		Instance leader = leader().orElseThrow();
		leader.member.shutdown(MAXIMUM_ATTEMPTS * PAUSE_MILLIS);
		long index = proposeUntilAccepted("last").index();
		for (Instance instance : this.instances) {
			if (instance != leader) {
				Assert.assertEquals(instance.member.status().failure(), Optional.empty());
				Assert.assertTrue(instance.member.awaitApplied(index, MAXIMUM_ATTEMPTS * PAUSE_MILLIS));
				List<String> commands = List.copyOf(instance.member.stateMachine().commands());
				Assert.assertTrue(commands.stream().distinct().count() == 21, commands.toString());
			}
		}
	}

	@Test
	public void interruptOfAConnectionDoesNotCloseTheLog() throws Exception {
		Instance waiting = new Instance("d");
		this.instances.add(waiting);
		waiting.start(Files.createTempDirectory(Path.of("target"), "interrupted"), MemberSet.empty());
		for (long index = 1; index <= 2; index++) {
			AppendRequest request = new AppendRequest(5, "x", index - 1, (index > 1) ? 5 : 0, 0,
					List.of(new LogEntry(index, 5, EntryKind.NO_OP, new byte[0])));
			Thread.currentThread().interrupt();
			Assert.assertThrows(LavenderroadException.class, () -> waiting.answer(null, request));
			Assert.assertTrue(Thread.interrupted());
			waiting.answer(null, request);
		}
		Assert.assertEquals(waiting.member.status().failure(), Optional.empty());
		Assert.assertEquals(waiting.member.status().lastIndex(), 2);
	}

	private Accepted proposeUntilAccepted(String command) throws InterruptedException {
		for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
			for (Instance instance : this.instances) {
				if (instance.member.propose(command.getBytes(StandardCharsets.UTF_8)) instanceof Accepted accepted) {
					return accepted;
				}
			}
			Thread.sleep(PAUSE_MILLIS);
		}
		throw new AssertionError(command + " was never accepted");
	}

	private Optional<Instance> leader() throws InterruptedException {
		for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
			for (Instance instance : this.instances) {
				if (instance.member.confirmLeadership().isPresent()) {
					return Optional.of(instance);
				}
			}
			Thread.sleep(PAUSE_MILLIS);
		}
		return Optional.empty();
	}

	/**
	 * A member with its server.
	 */
	private static final class Instance implements ConnectionHandler {

		private final String id;

		private final FrameServer server;

		private volatile ControlMember<RecordingStateMachine> member;

		private Instance(String id) throws IOException {
			this.id = id;
			this.server = FrameServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), options(),
					this);
		}

		private void start(Path folder, MemberSet members) {
			this.member = ControlMember.<RecordingStateMachine>builder()
				.id(this.id)
				.initialMembers(members)
				.random(new Random(this.id.hashCode()))
				.log(DurableLog.open(StorageFileSystem.disk(), folder, DurableLog.DEFAULT_SEGMENT_BYTES))
				.stateMachine(new RecordingStateMachine())
				.build();
			this.member.start(options());
		}

		private WireOptions options() {
			return WireOptions.builder()
				.hello(new Hello("test", this.id, "control", 1, ""))
				.catalog(MessageCatalog.builder().addAll(ControlMessages.types()).build())
				.build();
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

}
