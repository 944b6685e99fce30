package io.lavenderroad.bench.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.lavenderroad.bench.backend.Behaviour;
import io.lavenderroad.bench.backend.StandInBackend;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.ExecutionVerdict;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a node that ends or grows without bound, because clients send heads of
 * many short lines, do not read the answers to pipelined requests, or read long answers
 * slowly. A control member and a node run as processes; the heap of the node is a third
 * of the usual one, so that few clients are enough.
 */
public class HostileClientTests {

	private static final String HEAP = "-Xmx32m";

	/**
	 * The 330 MB of the VM of a node, less the 64 MB by which the heap is smaller here.
	 */
	private static final long MAXIMUM_RESIDENT_KILOBYTES = 266 * 1024;

	private static final long MAXIMUM_DESCRIPTORS = 1_000;

	private static final int NETWORK = 61;

	private static final int SLOTS = 12;

	private static final int CONNECTIONS = 100;

	private static final int HEAD_LINES = 3_900;

	private static final int PIPELINED_REQUESTS = 400;

	private static final int ANSWER_BYTES = 2 * 1024 * 1024;

	/**
	 * How long the clients stay connected before the ordinary request.
	 */
	private static final long HOLD_MILLIS = 8_000;

	private static final long WAIT_MILLIS = 60_000;

	private final List<Socket> sockets = new ArrayList<>();

	private ProcessCluster cluster;

	private StandInBackend backend;

	private String node;

	@BeforeMethod
	void start() throws IOException {
		Path folder = Files.createTempDirectory("hostile-clients");
		this.cluster = new ProcessCluster("hostile", NETWORK, Path.of("").toAbsolutePath(), folder, List.of("soweto"));
		this.cluster.daemonCommand(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), HEAP,
				"-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:+ExitOnOutOfMemoryError",
				"--sun-misc-unsafe-memory-access=allow", "-cp",
				System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
				"io.lavenderroad.daemon.Main"));
		this.cluster.startControl(1);
		this.node = this.cluster.startNode("catalogue", "v1", SLOTS);
		String[] address = this.cluster.backendAddress(this.node).split(":");
		this.backend = StandInBackend.start("backend", new InetSocketAddress(address[0], Integer.parseInt(address[1])),
				Behaviour.DEFAULT);
		apply();
		await("the node serves", this::ordinaryRequestIsAnswered);
	}

	@AfterMethod(alwaysRun = true)
	void stop() throws IOException {
		for (Socket socket : this.sockets) {
			socket.close();
		}
		this.sockets.clear();
		this.backend.close();
		this.cluster.close();
	}

	@Test
	public void manyShortLinesInUnfinishedHeads() throws Exception {
		play("GET /items/1 HTTP/1.1\r\nHost: catalogue\r\n" + "a:\r\n".repeat(HEAD_LINES));
	}

	@Test
	public void pipelinedRequestsWithUnreadAnswers() throws Exception {
		String request = "GET /items/1 HTTP/1.1\r\nHost: catalogue\r\nLarge: " + "x".repeat(4_000) + "\r\n\r\n";
		play(request.repeat(PIPELINED_REQUESTS));
	}

	@Test
	public void longAnswersThatAreReadSlowly() throws Exception {
		play("GET /items/1 HTTP/1.1\r\nHost: catalogue\r\nStand-In: bytes=" + ANSWER_BYTES + "\r\n\r\n");
	}

	private void play(String sent) throws Exception {
		for (int index = 0; index < CONNECTIONS; index++) {
			Socket socket = connect();
			this.sockets.add(socket);
			Thread.ofVirtual().start(() -> send(socket, sent));
		}
		readSlowly();
		await("an ordinary request is answered", this::ordinaryRequestIsAnswered);
		DaemonProcess process = this.cluster.process(this.node);
		Assert.assertTrue(process.isAlive(), "the node has ended, see " + this.cluster.folder());
		long resident = process.residentKilobytes().orElseThrow();
		Assert.assertTrue(resident <= MAXIMUM_RESIDENT_KILOBYTES, resident + " kB resident");
		long descriptors = process.openDescriptors().orElseThrow();
		Assert.assertTrue(descriptors <= MAXIMUM_DESCRIPTORS, descriptors + " descriptors");
	}

	private void readSlowly() throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HOLD_MILLIS);
		while (System.nanoTime() < end) {
			for (Socket socket : this.sockets) {
				readAvailableByte(socket);
			}
			Thread.sleep(200);
		}
	}

	private static void readAvailableByte(Socket socket) {
		try {
			if (socket.getInputStream().available() > 0) {
				socket.getInputStream().read();
			}
		}
		catch (IOException ex) {
			// The node may close the connection of such a client.
		}
	}

	private static void send(Socket socket, String text) {
		try {
			socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		}
		catch (IOException ex) {
			// The node may close the connection of such a client.
		}
	}

	private Socket connect() throws IOException {
		String[] address = this.cluster.callerAddress(this.node).split(":");
		Socket socket = new Socket();
		// A small buffer, so that most of an answer stays at the node.
		socket.setReceiveBufferSize(4 * 1024);
		socket.connect(new InetSocketAddress(InetAddress.ofLiteral(address[0]), Integer.parseInt(address[1])), 5_000);
		socket.setSoTimeout(10_000);
		return socket;
	}

	private boolean ordinaryRequestIsAnswered() {
		Assert.assertTrue(this.cluster.process(this.node).isAlive(),
				"the node has ended, see " + this.cluster.folder());
		try (Socket socket = connect()) {
			send(socket, "GET /items/1 HTTP/1.1\r\nHost: catalogue\r\nConnection: close\r\n\r\n");
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1)
				.startsWith("HTTP/1.1 200 ");
		}
		catch (IOException ex) {
			return false;
		}
	}

	private void apply() throws IOException {
		OperatorClient client = new OperatorClient(() -> List.of(this.cluster.controlAddresses()), (event) -> {
		}, Clock.system());
		Map<String, String> documents = new TreeMap<>();
		for (String name : List.of("template", "parameters")) {
			documents.put(name, Files.readString(Path.of("../examples/mokoena/" + name + ".yml"))
				.replace("queue-length: 36", "queue-length: 200\n    query-timeout: 10s"));
		}
		await("the configuration is accepted",
				() -> client.apply("hostile", 0, documents, WAIT_MILLIS).verdict() == ExecutionVerdict.RAN);
	}

	private static void await(String what, BooleanSupplier condition) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.nanoTime() < end, "not in time: " + what);
			Thread.onSpinWait();
		}
	}

}
