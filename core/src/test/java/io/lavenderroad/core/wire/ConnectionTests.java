package io.lavenderroad.core.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import io.vavr.control.Either;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against answers that are matched with the wrong request, peers of another
 * cluster, and invalid input on one connection that affects others.
 */
public class ConnectionTests {

	private static final int TIMEOUT_MILLIS = 20_000;

	private final EchoHandler handler = new EchoHandler();

	private FrameServer server;

	@BeforeMethod
	void start() throws IOException {
		this.server = FrameServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), options("east"),
				this.handler);
	}

	@AfterMethod
	void stop() {
		this.server.close();
	}

	@Test
	public void eachAnswerMatchesItsRequest() throws Exception {
		Connection connection = Connection.open(this.server.address(), options("east"), new EchoHandler()).get();
		int calls = 200;
		CountDownLatch done = new CountDownLatch(calls);
		BlockingQueue<String> wrong = new LinkedBlockingQueue<>();
		for (int index = 0; index < calls; index++) {
			String text = "call " + index;
			Thread.ofVirtual().start(() -> {
				Either<CallFailure, Text> answer = connection.call(new Text(text), TIMEOUT_MILLIS, Text.class);
				if (!answer.map((value) -> value.value().equals(text)).getOrElse(false)) {
					wrong.add(text + " got " + answer);
				}
				done.countDown();
			});
		}
		done.await();
		connection.close();
		Assert.assertTrue(wrong.isEmpty(), wrong.toString());
	}

	@Test
	public void peerOfAnotherClusterIsRefusedWithTheReason() {
		Either<CallFailure, Connection> result = Connection.open(this.server.address(), options("west"),
				new EchoHandler());
		Assert.assertTrue(result.isLeft());
		Assert.assertEquals(result.getLeft().verdict(), ExecutionVerdict.NOT_RUN);
		Assert.assertTrue(result.getLeft().reason().contains("cluster 'west' in place of 'east'"),
				result.getLeft().reason());
	}

	@Test
	public void randomBytesCloseOnlyTheConnectionThatSentThem() throws Exception {
		Connection connection = Connection.open(this.server.address(), options("east"), new EchoHandler()).get();
		Random random = new Random(20261204);
		for (int attempt = 0; attempt < 100; attempt++) {
			try (Socket socket = new Socket()) {
				socket.connect(this.server.address());
				byte[] bytes = new byte[random.nextInt(200) + 1];
				random.nextBytes(bytes);
				DataOutputStream output = new DataOutputStream(socket.getOutputStream());
				if (attempt % 2 == 0) {
					output.writeInt(bytes.length);
				}
				output.write(bytes);
				socket.shutdownOutput();
				socket.getInputStream().readAllBytes();
			}
			catch (IOException ex) {
				// A reset by the server is a valid way to refuse random bytes.
				Assert.assertNotNull(ex.getMessage());
			}
		}
		Either<CallFailure, Text> answer = connection.call(new Text("alive"), TIMEOUT_MILLIS, Text.class);
		Assert.assertEquals(answer.get().value(), "alive");
		connection.close();
	}

	@Test
	public void callWithoutAnswerMayHaveRun() {
		Connection connection = Connection.open(this.server.address(), options("east"), new EchoHandler()).get();
		Either<CallFailure, Text> answer = connection.call(new Text("close"), TIMEOUT_MILLIS, Text.class);
		Assert.assertEquals(answer.getLeft().verdict(), ExecutionVerdict.MAY_HAVE_RUN);
		Either<CallFailure, Text> next = connection.call(new Text("after"), TIMEOUT_MILLIS, Text.class);
		Assert.assertEquals(next.getLeft().verdict(), ExecutionVerdict.NOT_RUN);
	}

	@Test
	public void probeSucceedsOnlyOnAnOpenConnection() throws Exception {
		Connection connection = Connection.open(this.server.address(), options("east"), new EchoHandler()).get();
		Assert.assertTrue(connection.probe(TIMEOUT_MILLIS));
		connection.close();
		Assert.assertFalse(connection.probe(TIMEOUT_MILLIS));
	}

	@Test
	public void partOfALargeFrameCountsAsActivity() throws Exception {
		AtomicLong nowMillis = new AtomicLong(1_000);
		try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			FutureTask<Socket> accepting = new FutureTask<>(() -> acceptAndEchoHello(peer));
			Thread.ofVirtual().start(accepting);
			Connection connection = Connection
				.open(new InetSocketAddress(peer.getInetAddress(), peer.getLocalPort()),
						options("east", nowMillis::get), new EchoHandler())
				.get();
			nowMillis.set(9_000);
			DataOutputStream output = new DataOutputStream(accepting.get().getOutputStream());
			output.writeInt(100_000);
			output.write(new byte[50_000]);
			output.flush();
			long startNanos = System.nanoTime();
			while (connection.lastReceivedMillis() != 9_000
					&& System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS)) {
				Thread.onSpinWait();
			}
			Assert.assertEquals(connection.lastReceivedMillis(), 9_000,
					"a partial frame did not count as activity of the peer");
			connection.close();
		}
	}

	private static Socket acceptAndEchoHello(ServerSocket peer) throws IOException {
		Socket socket = peer.accept();
		DataInputStream input = new DataInputStream(socket.getInputStream());
		byte[] hello = input.readNBytes(input.readInt());
		DataOutputStream output = new DataOutputStream(socket.getOutputStream());
		output.writeInt(hello.length);
		output.write(hello);
		output.flush();
		return socket;
	}

	private static WireOptions options(String cluster) {
		return options(cluster, Clock.system());
	}

	private static WireOptions options(String cluster, Clock clock) {
		MessageCatalog catalog = MessageCatalog.builder()
			.add(new MessageType<>(1, Text.class, (message, packer) -> packer.packString(message.value()),
					(unpacker) -> new Text(unpacker.unpackString())))
			.build();
		return WireOptions.builder()
			.hello(new Hello(cluster, "test", "node", 1, ""))
			.catalog(catalog)
			.clock(clock)
			.connectTimeoutMillis(TIMEOUT_MILLIS)
			.receiveTimeoutMillis(TIMEOUT_MILLIS)
			.build();
	}

	private record Text(String value) {

	}

	private static final class EchoHandler implements ConnectionHandler {

		@Override
		public void received(Connection connection, Object message) {
		}

		@Override
		public Object answer(Connection connection, Object request) {
			if (((Text) request).value().equals("close")) {
				connection.close();
			}
			return request;
		}

	}

}
